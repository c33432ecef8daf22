import { createSeededRandom } from '@forkstage/clock'
import {
  ALL_PARTS,
  place,
  type EndpointView,
  type PlacementView,
  type PlacePolicy,
  type PlaceRequest,
} from '@forkstage/place'
import { printTable } from '@forkstage/cli'
import { writeJson } from './report'
import { percentiles, round } from './summarise'

const COUNTS = [3, 16, 64, 128]
const DECISIONS = 20_000
const WARM_UP = 3_000

const policy: PlacePolicy = {
  goodputWeight: 1,
  wastedPrefillWeight: 1,
  ttftTarget: 770,
  tbtTarget: 61,
  defaultBytesPerMs: 1_250_000,
  parts: ALL_PARTS,
}

const request: PlaceRequest = {
  request: 'r',
  service: 's',
  model: 'm',
  promptTokens: 3_000,
  expectedOutput: 60,
  kvBytesPerToken: 60_000,
  waited: 0,
  avoid: [],
}

/** Measures the time of a placement decision alone, for growing pools of engines. */
export function runPlaceExperiment(): void {
  const rows = COUNTS.map((count) => {
    const random = createSeededRandom(7)
    const views = Array.from({ length: 50 }, () => createView(count, random))
    const times: number[] = []
    for (let n = 0; n < DECISIONS + WARM_UP; n += 1) {
      const view = views[n % views.length]!
      const started = process.hrtime.bigint()
      place(request, view, { policy, random })
      if (n >= WARM_UP) times.push(Number(process.hrtime.bigint() - started) / 1_000)
    }
    const { p50, p99 } = percentiles(times)
    const mean = times.reduce((total, each) => total + each, 0) / times.length
    return {
      enginesAPool: count,
      p50us: p50,
      p99us: p99,
      decisionsASecond: Math.round(1_000_000 / mean),
      meanUs: round(mean, 2),
    }
  })
  printTable(
    ['engines per pool', 'p50 µs', 'p99 µs', 'decisions/s'],
    rows.map((row) => [row.enginesAPool, row.p50us, row.p99us, row.decisionsASecond]),
  )
  writeJson('place', rows)
}

function createView(count: number, random: () => number): PlacementView {
  const domains = ['a', 'b', 'c']
  const endpoint = (pool: 'prefill' | 'decode', index: number): EndpointView => ({
    row: {
      endpoint: `${pool}-${index}`,
      address: '127.0.0.1:1',
      domain: domains[index % domains.length]!,
      service: 's',
      pool,
      models: ['m'],
      weight: 1,
      maxInFlight: 48,
      kvTokens: 160_000,
      promptTokensPerSecond: 0,
      state: 'serve',
      checksFences: true,
      repeatable: true,
    },
    queuedPrefillTokens: random() * 8_000,
    prefillTokensPerMs: 20,
    runningStreams: random() * 40,
    kvTokensUsed: random() * 150_000,
    stepMs: 15 + random() * 35,
    cachedTokens: random() < 0.5 ? 2_560 : 0,
    shareRatio: 0.9 + random() * 0.2,
    inFlight: Math.floor(random() * 6),
  })
  const links = new Map(
    domains.flatMap((from) =>
      domains.map(
        (to) => [`${from}>${to}`, { bytesPerMs: 12_500_000, queuedBytes: random() * 1e8 }] as const,
      ),
    ),
  )
  const endpoints = Array.from({ length: count }, (_, index) => [
    endpoint('prefill', index),
    endpoint('decode', index),
  ]).flat()
  return { endpoints, links }
}

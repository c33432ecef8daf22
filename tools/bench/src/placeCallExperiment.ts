import { printTable } from '@forkstage/cli'
import { readPlaceReport, type PlaceAsk } from '@forkstage/allocator'
import { writeJson } from './report'
import { round } from './summarise'

/** Placements in one report; an entry at the target has about 130. */
const REPORT_SIZES = [4, 16, 64, 128]
const READS = 2_000
const US_PER_MS = 1_000

/** Measures the leader's time to check reports of placements, next to the time to parse them. */
export function runPlaceCallExperiment(): void {
  const rows = REPORT_SIZES.map((places) => {
    const text = JSON.stringify({ entry: 'e1', holds: Array.from({ length: places }, (_, n) => hold(n)) })
    const parsed: unknown = JSON.parse(text)
    const parseUs = usPerPlace(places, () => void JSON.parse(text))
    const checkUs = usPerPlace(places, () => void readPlaceReport(parsed))
    return { places, parseUs: round(parseUs, 2), checkUs: round(checkUs, 2) }
  })
  printTable(
    ['placements per report', 'parsing, µs per placement', 'checking, µs per placement'],
    rows.map(({ places, parseUs, checkUs }) => [places, parseUs, checkUs]),
  )
  writeJson('place-calls', { rows })
}

function usPerPlace(places: number, run: () => void): number {
  for (let warm = 0; warm < READS / 4; warm += 1) run()
  const startedAt = performance.now()
  for (let read = 0; read < READS; read += 1) run()
  return ((performance.now() - startedAt) * US_PER_MS) / READS / places
}

function hold(index: number) {
  const ask: PlaceAsk = {
    request: `request-${index}`,
    entry: 'e1',
    entryDomain: 'z',
    service: 's',
    className: 'c',
    promptTokens: 5_000,
    mostTokens: 60,
    hintTokens: 50,
    priority: 1,
    targetMs: 800,
    isReturn: false,
    promptMs: 100,
    holdMs: 3_000,
    leftMs: 13_000,
    patienceMs: 3_000,
    pauseMs: 300,
    except: [],
    isPrefilled: false,
    parts: [
      { id: 'aa', tokens: 200 },
      { id: 'bb', tokens: 4_800 },
    ],
  }
  return { ask, prefill: 'p1', decode: 'd1', ageMs: 500, decodingForMs: 300, madeTokens: 20 }
}

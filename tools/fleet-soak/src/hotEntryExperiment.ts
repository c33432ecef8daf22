/**
 * Measures what callers get while one entry, which has a share of a core and a link, gets most new connections, over real
 * processes. Prints a table; fails where the requests that it reads are served less often than before.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSeededRandom } from '@forkstage/clock'
import { createEndpoints, waitServing } from './experimentFleet'
import { HotEntryCallers, type HotCall } from './hotEntryCallers'
import { pause } from './pause'
import { processNetwork } from './processNetwork'
import { SoakFleet } from './soakFleet'

const ENDPOINTS = [
  ...Array.from({ length: 8 }, () => ({ service: 'plain' }) as const),
  ...Array.from({ length: 4 }, () => ({ service: 'model', stage: 'prefill' }) as const),
  ...Array.from({ length: 4 }, () => ({ service: 'model', stage: 'decode' }) as const),
]
/** What the hot entry has: a link in each direction, and this part of each period of the processor. */
const LINK_BYTES_PER_MS = 250
const QUOTA_PERIOD_MS = 100
const QUOTA_RUN_MS = 40
/** Requests per second that one such entry serves in time while it gets no more. */
const CAPACITY_PER_S = 60
const LOADS = [0.5, 1, 2, 4, 8, 4, 2, 1]
const BEFORE_MS = 4_000
const LOAD_MS = 5_000
/** Time in which the entry may find out about a new load. */
const LEARN_MS = 1_000
const AFTER_MS = 4_000
/** The bound of the rule. */
const MIN_SERVED_OF_BEFORE = 0.75

async function main(): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-hot-entry-'))
  const env = { FORKSTAGE_LINK_BYTES_PER_MS: String(LINK_BYTES_PER_MS) }
  const entryRunner = { program: 'dist/limitedLink.cjs', env }
  const fleet = new SoakFleet(folder, processNetwork(), { entryRunner })
  const runs = new Map<string, number>()
  const endpoints = createEndpoints(fleet, ENDPOINTS, { runs, seed: 0 })
  try {
    fleet.startAll()
    await Promise.all(endpoints.map((endpoint) => endpoint.start()))
    await waitServing(fleet, ['safe', 'stream'])
    return await measure(fleet, (id) => runs.has(id))
  } finally {
    endpoints.forEach((endpoint) => endpoint.end())
    await fleet.stopAll()
    rmSync(folder, { recursive: true, force: true })
  }
}

/** Runs all loads and prints a row for each. Returns whether the rule held in all. */
async function measure(fleet: SoakFleet, hasArrived: (id: string) => boolean): Promise<boolean> {
  const write = (text: string) => process.stdout.write(`${text}\n`)
  const hot = fleet.entries[0]!
  const callers = new HotEntryCallers({ fleet, random: createSeededRandom(3), hot, hasArrived })
  write(
    '| load | first tries at the hot entry | read | of these served | p95 ms | in time a s | unread, then served |',
  )
  write('| --- | --- | --- | --- | --- | --- | --- |')
  const endQuota = limitProcessor(fleet)
  const before = await callers.press(CAPACITY_PER_S / 2, BEFORE_MS, false)
  const usual = servedShare(firstTries(before).filter(isRead))
  write(`| before | - | - | ${usual.toFixed(3)} | ${p95(before)} | - | - |`)
  let isKept = true
  for (const load of LOADS) {
    const calls = await callers.press(CAPACITY_PER_S * load, LOAD_MS, true)
    const since = calls[0]!.startedAt + LEARN_MS
    const counted = calls.filter(({ startedAt }) => startedAt >= since)
    const row = describeLoad(counted, hot.name)
    if (row.servedOfRead < usual * MIN_SERVED_OF_BEFORE) isKept = false
    write(`| ${load} x | ${row.cells.join(' | ')} |`)
  }
  await pause(LEARN_MS)
  const after = await callers.press(CAPACITY_PER_S / 2, AFTER_MS, false)
  const servedAfter = servedShare(firstTries(after).filter(isRead))
  write(`| after | - | - | ${servedAfter.toFixed(3)} | ${p95(after)} | - | - |`)
  endQuota()
  write(isKept ? 'verdict: what was read was served' : 'verdict: what was read was served too seldom')
  return isKept
}

/** Stops and continues the entries by turns, as a quota of processor time does. Returns a function that ends this. */
function limitProcessor(fleet: SoakFleet): () => void {
  const hot = fleet.entries[0]!
  let isOver = false
  const run = async () => {
    while (!isOver) {
      fleet.signal(hot, 'SIGCONT')
      await pause(QUOTA_RUN_MS)
      if (isOver) return
      fleet.signal(hot, 'SIGSTOP')
      await pause(QUOTA_PERIOD_MS - QUOTA_RUN_MS)
    }
  }
  void run()
  return () => {
    isOver = true
    fleet.signal(hot, 'SIGCONT')
  }
}

function describeLoad(calls: HotCall[], hot: string): { servedOfRead: number; cells: string[] } {
  const tries = calls.filter(({ attempts }) => attempts[0]?.entry === hot)
  const read = tries.filter(({ attempts }) => attempts[0]!.end !== 'unread')
  const unread = tries.filter(({ attempts }) => attempts[0]!.end === 'unread')
  const servedOfRead = servedShare(read.map(({ attempts }) => attempts[0]!))
  const laterServed = unread.filter(({ attempts }) => attempts.at(-1)!.end === 'served').length
  const inTime = read.filter(({ attempts }) => attempts[0]!.end === 'served').length
  const seconds = (LOAD_MS - LEARN_MS) / 1_000
  return {
    servedOfRead,
    cells: [
      String(tries.length),
      String(read.length),
      servedOfRead.toFixed(3),
      String(p95(read)),
      (inTime / seconds).toFixed(0),
      unread.length === 0 ? '-' : (laterServed / unread.length).toFixed(3),
    ],
  }
}

const firstTries = (calls: HotCall[]) => calls.map(({ attempts }) => attempts[0]!)
const isRead = ({ end }: { end: string }) => end !== 'unread'

/** Returns the share of attempts that were served; 1 where there are none. */
function servedShare(attempts: { end: string }[]): number {
  if (attempts.length === 0) return 1
  return attempts.filter(({ end }) => end === 'served').length / attempts.length
}

function p95(calls: HotCall[]): number {
  const times = firstTries(calls)
    .filter(({ end }) => end === 'served')
    .map(({ tookMs }) => tookMs)
  return times.sort((left, right) => left - right)[Math.floor(times.length * 0.95)] ?? NaN
}

main().then(
  (isKept) => process.exit(isKept ? 0 : 1),
  (error: unknown) => {
    process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  },
)

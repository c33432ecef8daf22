/** Measures what callers get while entries are cut from all endpoints, over real processes, and prints a table. */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createEndpoints, waitServing } from './experimentFleet'
import type { SoakMachine } from './machineSettings'
import { PARTITION_KINDS, type PartitionKind } from './partitionKinds'
import { pause } from './pause'
import { processNetwork } from './processNetwork'
import type { CallRecord } from './soakCallers'
import { SoakFleet } from './soakFleet'
import type { SoakOperator } from './soakOperator'

/** What happens to the fleet beside the partition. */
type Disruption =
  'none' | 'leader killed' | 'leader paused' | 'no control' | 'entry killed' | 'new sheets' | 'series'

interface Case {
  route: 'safe' | 'unsafe' | 'stream'
  cut: number
  kind: PartitionKind
  beside: Disruption
}

const ENDPOINTS = [
  ...Array.from({ length: 6 }, () => ({ service: 'plain' }) as const),
  ...Array.from({ length: 2 }, () => ({ service: 'model', stage: 'prefill' }) as const),
  ...Array.from({ length: 2 }, () => ({ service: 'model', stage: 'decode' }) as const),
]
const BEFORE_MS = 1_000
const PARTITION_MS = 6_000
/** Time in which an entry may learn of the partition. */
const LEARN_MS = 1_000
/** Time after the partition in which an entry may return to its own links. */
const RETURN_MS = 1_000
const AFTER_MS = 2_500
const CALL_EVERY_MS = 20
const SHEET_EVERY_MS = 500
const SERIES_ON_MS = 700
const SERIES_OFF_MS = 300
const OK = 200
const KEY = 'key-steady'

const CASES: Case[] = [
  ...(['safe', 'unsafe', 'stream'] as const).flatMap((route) =>
    PARTITION_KINDS.map((kind) => ({ route, cut: 2, kind, beside: 'none' as const })),
  ),
  ...[1, 3].flatMap((cut) =>
    (['hang', 'reset'] as const).map((kind) => ({
      route: 'safe' as const,
      cut,
      kind,
      beside: 'none' as const,
    })),
  ),
  ...(['leader killed', 'leader paused', 'no control', 'entry killed', 'new sheets', 'series'] as const).map(
    (beside) => ({ route: 'safe' as const, cut: 2, kind: 'hang' as const, beside }),
  ),
]

async function main(): Promise<void> {
  const write = (text: string) => process.stdout.write(`${text}\n`)
  write(
    '| route | entries cut, way | beside | served: cut / others | p95 ms: cut / others | after 1 s: cut | ran twice |',
  )
  write('| --- | --- | --- | --- | --- | --- | --- |')
  for (const [index, one] of CASES.entries()) write(await measure(one, index))
}

async function measure(one: Case, index: number): Promise<string> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-partitions-'))
  const fleet = new SoakFleet(folder, processNetwork())
  const runs = new Map<string, number>()
  const endpoints = createEndpoints(fleet, ENDPOINTS, { runs, seed: index })
  try {
    fleet.startAll()
    await Promise.all(endpoints.map((endpoint) => endpoint.start()))
    return await runCase(one, { fleet, folder, runs })
  } finally {
    endpoints.forEach((endpoint) => endpoint.end())
    await fleet.stopAll()
    rmSync(folder, { recursive: true, force: true })
  }
}

interface CaseParts {
  fleet: SoakFleet
  folder: string
  runs: ReadonlyMap<string, number>
}

async function runCase(one: Case, { fleet, folder, runs }: CaseParts): Promise<string> {
  const { operator, callers } = await waitServing(fleet, ['safe'])
  const cut = fleet.entries.slice(0, one.cut)
  const calls: Promise<CallRecord>[] = []
  const startedAt = Date.now()
  const load = (async () => {
    for (let count = 0; Date.now() < startedAt + BEFORE_MS + PARTITION_MS + AFTER_MS; count += 1) {
      calls.push(callers.callWith(fleet.entries[count % fleet.entries.length]!, KEY, one.route))
      await pause(CALL_EVERY_MS)
    }
  })()
  await pause(BEFORE_MS)
  const from = Date.now()
  await Promise.all([partition(one, fleet, cut), disrupt(one.beside, fleet, folder, operator)])
  const to = Date.now()
  await load
  const ended = await Promise.all(calls)
  return describeCase(one, ended, { cut: new Set(cut.map(({ name }) => name)), from, to, runs })
}

async function partition({ kind, beside }: Case, fleet: SoakFleet, cut: SoakMachine[]): Promise<void> {
  const set = (value: PartitionKind | undefined) => cut.forEach((entry) => fleet.partition(entry, value))
  const end = Date.now() + PARTITION_MS
  if (beside !== 'series') {
    set(kind)
    await pause(PARTITION_MS)
  }
  while (Date.now() < end) {
    set(kind)
    await pause(SERIES_ON_MS)
    set(undefined)
    await pause(SERIES_OFF_MS)
  }
  set(undefined)
}

async function disrupt(
  beside: Disruption,
  fleet: SoakFleet,
  folder: string,
  operator: SoakOperator,
): Promise<void> {
  if (beside === 'leader killed') return void (await fleet.end(findLeader(fleet, folder), 'SIGKILL'))
  if (beside === 'leader paused') return fleet.signal(findLeader(fleet, folder), 'SIGSTOP')
  if (beside === 'no control') return fleet.control.forEach((machine) => fleet.signal(machine, 'SIGSTOP'))
  if (beside === 'entry killed') return void (await fleet.end(fleet.entries.at(-1)!, 'SIGKILL'))
  if (beside !== 'new sheets') return
  for (let passed = 0; passed < PARTITION_MS; passed += SHEET_EVERY_MS) {
    await operator.putNext()
    await pause(SHEET_EVERY_MS)
  }
}

/** Returns the control machine whose log names it the leader of the highest term. */
function findLeader(fleet: SoakFleet, folder: string): SoakMachine {
  const termOf = (machine: SoakMachine) => {
    const log = readFileSync(join(folder, `${machine.name}.log`), 'utf8')
    const terms = [...log.matchAll(/"event":"replica\.role".*?"role":"leader","term":(\d+)/g)]
    return Math.max(-1, ...terms.map(([, term]) => Number(term)))
  }
  return fleet.control.toSorted((left, right) => termOf(right) - termOf(left))[0]!
}

interface CaseSpan {
  cut: ReadonlySet<string>
  from: number
  to: number
  runs: ReadonlyMap<string, number>
}

function describeCase(
  { route, cut: count, kind, beside }: Case,
  calls: CallRecord[],
  { cut, from, to, runs }: CaseSpan,
): string {
  // A killed entry serves nobody, whatever the others do.
  const living = calls.filter(({ entry }) => beside !== 'entry killed' || entry !== 'entry-4')
  const within = (low: number, high: number) =>
    living.filter(({ startedAt, endedAt }) => startedAt >= low && endedAt <= high)
  const during = within(from + LEARN_MS, to)
  const isCut = ({ entry }: CallRecord) => cut.has(entry)
  const after = within(to + RETURN_MS, Infinity).filter(isCut)
  const groups = [during.filter(isCut), during.filter((call) => !isCut(call))]
  const repeated = calls.filter(({ id }) => (runs.get(id) ?? 0) > 1).length
  const cells = [
    route,
    `${count}, ${kind}`,
    beside,
    groups.map((group) => servedShare(group).toFixed(3)).join(' / '),
    groups.map((group) => String(p95(group))).join(' / '),
    servedShare(after).toFixed(3),
    route === 'safe' ? '-' : String(repeated),
  ]
  return `| ${cells.join(' | ')} |`
}

const isServed = ({ status, isWhole }: CallRecord) => status === OK && isWhole

function servedShare(calls: CallRecord[]): number {
  return calls.filter(isServed).length / calls.length
}

function p95(calls: CallRecord[]): number {
  const times = calls.filter(isServed).map(({ startedAt, endedAt }) => endedAt - startedAt)
  return times.sort((left, right) => left - right)[Math.floor(times.length * 0.95)] ?? NaN
}

main().then(
  () => process.exit(0),
  (error: unknown) => {
    process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  },
)

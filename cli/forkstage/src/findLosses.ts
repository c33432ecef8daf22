import type { LogLine } from './traceRequest'

/** Why a request was not answered in time and completely. */
export type LossCause =
  | 'beyond the engines'
  | 'engines missing'
  | 'beyond the plain endpoints'
  | 'no leader'
  | 'just started'
  | 'cut at the endpoint'
  | 'allowance used up'
  | 'time up'
  | 'late'
  | 'other'

/** The losses of one time window. */
export interface LossRow {
  /** Start of the window, in milliseconds from the first line. */
  fromMs: number
  /** Number of requests that ended in the window, except those whose callers had disconnected. */
  answered: number
  /** Number of requests that were not answered well, by cause. */
  causes: Partial<Record<LossCause, number>>
  /** Number of prefill steps whose KV cache no decode engine used. */
  readInVain: number
  /** Number of engines in use at the last decision of the window; absent without a decision. */
  engines?: { decoders: number; readers: number }
  /** Number of machines that became leader; `alone` is the number of placements without the leader. */
  leaders: number
  alone: number
}

/** Options of {@link findLosses}. */
export interface FindLossesOptions {
  windowMs: number
  /** Maximum time from the head of a request to its first event; later ones count as late, in milliseconds. */
  targetMs: number
}

interface EngineCounts {
  decoders: number
  readers: number
}

const NO_ROOM = new Set(['no room in sight', 'no room in time', 'too many wait already'])
const NO_LEADER = new Set(["this entry's share is full"])
const JUST_STARTED = new Set(['no sheet yet', 'no endpoint', 'no decode engine is known', 'leaving'])
const GOOD_STATUS = 200

/** Counts, per time window, the requests that were not answered well and their causes, from log lines alone. */
export function findLosses(lines: LogLine[], { windowMs, targetMs }: FindLossesOptions): LossRow[] {
  const sorted = [...lines].sort((left, right) => left.time - right.time)
  const first = sorted[0]?.time ?? 0
  const most = maxEngines(sorted)
  const modelRequests = new Set(sorted.filter(isDecision).map(({ fields }) => fields.request))
  const rows = new Map<number, LossRow>()
  let engines: EngineCounts | undefined
  for (const line of sorted) {
    const fromMs = Math.floor((line.time - first) / windowMs) * windowMs
    const row = rows.get(fromMs) ?? newRow(fromMs)
    rows.set(fromMs, row)
    engines = enginesOf(line) ?? engines
    const lacksEngines = engines !== undefined && countEngines(engines) < most
    countLine(row, line, { targetMs, lacksEngines, isModelRequest: modelRequests.has(line.fields.request) })
    if (enginesOf(line) !== undefined) row.engines = enginesOf(line)
  }
  return [...rows.values()].filter((row) => row.answered > 0 || row.leaders > 0)
}

function newRow(fromMs: number): LossRow {
  return { fromMs, answered: 0, causes: {}, readInVain: 0, leaders: 0, alone: 0 }
}

interface LossContext {
  targetMs: number
  /** Whether fewer engines are in use than the maximum seen in the log. */
  lacksEngines: boolean
  /** Whether the leader placed the request; plain requests need no placement. */
  isModelRequest: boolean
}

function countLine(row: LossRow, line: LogLine, options: LossContext): void {
  if (line.event === 'replica.role' && line.fields.role === 'leader') row.leaders += 1
  if (line.event === 'place.alone') row.alone += 1
  if (line.event !== 'request.answered') return
  row.readInVain += readInVain(line)
  if (line.fields.outcome === 'caller gone') return
  row.answered += 1
  const cause = causeOf(line, options)
  if (cause !== undefined) row.causes[cause] = (row.causes[cause] ?? 0) + 1
}

/** Returns why a request was not answered well; undefined if it was, or if the request itself was invalid. */
function causeOf(
  { fields }: LogLine,
  { targetMs, lacksEngines, isModelRequest }: LossContext,
): LossCause | undefined {
  const outcome = String(fields.outcome).replace(/^cut: /, '')
  if (NO_ROOM.has(outcome) && !isModelRequest) return 'beyond the plain endpoints'
  if (NO_ROOM.has(outcome)) return lacksEngines ? 'engines missing' : 'beyond the engines'
  if (NO_LEADER.has(outcome)) return 'no leader'
  if (JUST_STARTED.has(outcome)) return 'just started'
  if (outcome === 'no repeated sending is left') return 'allowance used up'
  if (outcome === 'the time is up') return 'time up'
  const isAnswered = outcome === 'answered' && fields.status === GOOD_STATUS
  if (isAnswered) return Number(fields.firstEventMs ?? 0) > targetMs ? 'late' : undefined
  if (outcome === 'no route' || outcome === 'no request id') return undefined
  return sendsOf(fields).some(({ outcome: end }) => end !== 'ok') ? 'cut at the endpoint' : 'other'
}

function readInVain({ fields }: LogLine): number {
  const steps = sendsOf(fields)
  const read = steps.filter(({ step, outcome }) => step === 'prefill' && outcome === 'ok').length
  const used = steps.some(({ step, outcome }) => step === 'decode' && outcome === 'ok') ? 1 : 0
  return Math.max(0, read - used)
}

function sendsOf(fields: LogLine['fields']): { step: string; outcome: string }[] {
  return (fields.sends ?? []) as { step: string; outcome: string }[]
}

function isDecision({ event }: LogLine): boolean {
  return event === 'place.decided'
}

function enginesOf(line: LogLine): EngineCounts | undefined {
  return isDecision(line) ? (line.fields.engines as EngineCounts | undefined) : undefined
}

function maxEngines(lines: LogLine[]): number {
  return lines
    .map(enginesOf)
    .reduce((most, one) => (one === undefined ? most : Math.max(most, countEngines(one))), 0)
}

function countEngines({ decoders, readers }: EngineCounts): number {
  return decoders + readers
}

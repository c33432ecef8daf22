import type { LogLine } from './traceRequest'

/** Why a request was not answered well. */
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

/** What was lost in one stretch of time. */
export interface LossRow {
  /** Start of the stretch, in milliseconds from the first line. */
  fromMs: number
  /** Requests whose answer ended in it, those of callers that had left not counted. */
  answered: number
  /** Requests that were not answered well, by cause. */
  causes: Partial<Record<LossCause, number>>
  /** Prefill steps whose memory no decode engine used. */
  readInVain: number
  /** Engines that took work, as the last decision in it says; absent without a decision. */
  engines?: { decoders: number; readers: number }
  /** Machines that became leader, and places that entries took alone. */
  leaders: number
  alone: number
}

/** Options of {@link findLosses}. */
export interface FindLossesOptions {
  windowMs: number
  /** First events later than this after the head of the request count as late, in milliseconds. */
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

/** Sums up, by stretches of time, which requests were not answered well and why, from log lines alone. */
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
  /** Whether fewer engines take work than at the best time. */
  lacksEngines: boolean
  /** Whether the leader decided on the request: plain calls need no decision. */
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

/** Why a request was not answered well; undefined where it was. */
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

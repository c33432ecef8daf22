import type { TimeSpan } from './checkInterruptedAnswers'
import type { ProcessRecord } from './checkProcessEnds'
import type { CallRecord } from './soakCallers'

/** One request of a caller that keeps its connection. */
export interface KeptCall extends CallRecord {
  /** When the last byte of the request was sent, in Unix milliseconds; absent if no connection was opened. */
  sentAt?: number
  /** How many requests its connection had carried before. */
  used: number
  /** `closed`: the connection ended without a complete answer; `gave up`: the caller closed it. */
  outcome: 'answered' | 'closed' | 'gave up'
  error?: string
}

/** How far a lost request had come. */
export type LostStage = 'never read' | 'read' | 'sent on'

/** What else is known about the calls. */
export interface LostRequestEvidence {
  processes: readonly ProcessRecord[]
  /** When each entry was disrupted otherwise, such as cut from its endpoints, by its name. */
  disruptions: ReadonlyMap<string, TimeSpan[]>
  /** Number of runs by request id. */
  runs: ReadonlyMap<string, number>
  /** Whether a line in the log of an entry names a request. */
  isLogged: (call: KeptCall) => boolean
}

/** What became of requests whose connections ended without an answer. */
export interface LostRequestReport {
  /** Requests that crossed the close of their connection. */
  crossed: number
  lost: { call: KeptCall; stage: LostStage }[]
}

/** A request whose last byte was sent no longer before the end of its connection crossed the close. */
export const LOSS_SLACK_MS = 200
/** A disruption counts from this long before a request. */
const CONTACT_MS = 3_000
const GRACE_MS = 4_000
/** Work of endpoints in the last part of the grace time may be cut. */
const LAST_GRACE_SHARE = 5 / 6
const UNPLANNED: ReadonlySet<NodeJS.Signals> = new Set<NodeJS.Signals>(['SIGKILL', 'SIGSTOP', 'SIGCONT'])

/** Finds requests that processes, asked for nothing but planned work, ended without an answer. */
export function findLostRequests(
  calls: readonly KeptCall[],
  evidence: LostRequestEvidence,
): LostRequestReport {
  const ended = calls.filter(
    (call) => call.outcome === 'closed' && call.sentAt !== undefined && !wasDisrupted(call, evidence),
  )
  const lost = ended
    .filter((call) => call.endedAt - call.sentAt! > LOSS_SLACK_MS)
    .map((call) => ({ call, stage: stageOf(call, evidence) }))
    .filter(({ call, stage }) => stage !== 'sent on' || !endsWithGrace(call, evidence))
  const crossed = ended.filter((call) => call.endedAt - call.sentAt! <= LOSS_SLACK_MS)
  return { crossed: crossed.length, lost }
}

/** Returns one text for each lost request. */
export function checkLostRequests({ lost }: LostRequestReport): string[] {
  return lost.map(
    ({ call, stage }) =>
      `${call.id} (${call.kind}, ${stage}, request ${call.used + 1} of its connection) at ${call.entry} was closed (${call.error ?? 'in its answer'}) ${call.endedAt - call.sentAt!} ms after its last byte`,
  )
}

function stageOf(call: KeptCall, { runs, isLogged }: LostRequestEvidence): LostStage {
  if ((runs.get(call.id) ?? 0) > 0) return 'sent on'
  return isLogged(call) ? 'read' : 'never read'
}

function wasDisrupted(call: KeptCall, { processes, disruptions }: LostRequestEvidence): boolean {
  const span = { from: call.startedAt - CONTACT_MS, to: call.endedAt }
  const own = processes.filter(({ machine }) => machine === call.entry)
  const isUnplanned = own
    .flatMap(({ signals }) => signals)
    .some(({ signal, at }) => UNPLANNED.has(signal) && at >= span.from && at <= span.to)
  // A process that ends by itself is a finding of its own; a connection to a process in its start is refused.
  const other = disruptions.get(call.entry) ?? []
  return isUnplanned || other.some(({ from, to }) => from <= span.to && to >= span.from)
}

/** Whether a request ended in the last part of the grace time of its entry's stop. */
function endsWithGrace(call: KeptCall, { processes }: LostRequestEvidence): boolean {
  return processes
    .filter(({ machine }) => machine === call.entry)
    .flatMap(({ signals }) => signals)
    .some(({ signal, at }) => {
      const passedMs = call.endedAt - at
      return (
        signal === 'SIGTERM' && passedMs >= GRACE_MS * LAST_GRACE_SHARE && passedMs <= GRACE_MS + CONTACT_MS
      )
    })
}

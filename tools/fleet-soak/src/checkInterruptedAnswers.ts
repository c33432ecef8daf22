import type { CallRecord } from './soakCallers'
import type { StreamInterruptions } from './standInRuns'

/** When something was away or barred. */
export interface TimeSpan {
  from: number
  to: number
}

/** What entitles an entry to break an answer off. */
export interface InterruptionCauses extends StreamInterruptions {
  /** When each entry was killed, frozen or at the end of its stop. */
  entries: ReadonlyMap<string, TimeSpan[]>
  /** When a failure domain got nothing. */
  evacuations: TimeSpan[]
}

/** Engines that one request may be sent to by its route. */
const MAX_ATTEMPTS = 2
/** An answer that is cut so late was cut for its time. */
const DEADLINE_SHARE = 0.85
const MIN_REFUSED_RESUMPTIONS = 2

/** Begun answers that did not end whole though nothing entitled their entry to break them off. */
export function checkInterruptedAnswers(calls: CallRecord[], causes: InterruptionCauses): string[] {
  return calls
    .filter((call) => call.status === 200 && !call.isWhole && !hasKnownCause(call, causes))
    .map(
      (call) =>
        `${call.id} (${call.kind}) at ${call.entry} was cut after ${call.endedAt - call.startedAt} ms with ${call.body.length} characters`,
    )
}

function hasKnownCause(call: CallRecord, causes: InterruptionCauses): boolean {
  const span = { from: call.startedAt, to: call.endedAt }
  if (call.endedAt - call.startedAt >= call.deadlineMs * DEADLINE_SHARE) return true
  if ((causes.entries.get(call.entry) ?? []).some((away) => overlap(away, span))) return true
  const interruptedCount = causes.interrupted.get(call.id) ?? 0
  if (call.kind === 'long') return interruptedCount >= MAX_ATTEMPTS
  return interruptedCount > 0 || causes.stoppedWithoutReply.has(call.id) || lostRun(call, span, causes)
}

/** Where nothing may be made anew, a stopped run is lost with its memory: no engine that had it would take it. */
function lostRun({ id }: CallRecord, span: TimeSpan, causes: InterruptionCauses): boolean {
  if (!causes.kvStore.expiredRuns.has(id)) return false
  const wasRefused = (causes.refusedResumptions.get(id) ?? 0) >= MIN_REFUSED_RESUMPTIONS
  return wasRefused || causes.evacuations.some((one) => overlap(one, span))
}

function overlap(one: TimeSpan, other: TimeSpan): boolean {
  return one.from <= other.to && other.from <= one.to
}

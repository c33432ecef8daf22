import type { CallRecord } from './soakCallers'
import type { BegunAnswers } from './standInRuns'

/** When something was away or barred. */
export interface Span {
  from: number
  to: number
}

/** What entitles an entry to break an answer off. */
export interface Entitlements extends BegunAnswers {
  /** When each entry was killed, frozen or at the end of its stop. */
  entries: ReadonlyMap<string, Span[]>
  /** When a failure domain got nothing. */
  evacuations: Span[]
}

/** Engines that one request may be sent to by its route. */
const ATTEMPTS = 2
/** An answer that is cut so late was cut for its time. */
const TIME_UP_SHARE = 0.85
const TURNED_AWAY_OFTEN = 2

/** Begun answers that did not end whole though nothing entitled their entry to break them off. */
export function checkBegun(calls: CallRecord[], known: Entitlements): string[] {
  return calls
    .filter((call) => call.status === 200 && !call.isWhole && !isEntitled(call, known))
    .map(
      (call) =>
        `${call.id} (${call.kind}) at ${call.entry} was cut after ${call.endedAt - call.startedAt} ms with ${call.body.length} characters`,
    )
}

function isEntitled(call: CallRecord, known: Entitlements): boolean {
  const span = { from: call.startedAt, to: call.endedAt }
  if (call.endedAt - call.startedAt >= call.deadlineMs * TIME_UP_SHARE) return true
  if ((known.entries.get(call.entry) ?? []).some((away) => overlap(away, span))) return true
  const brokenOff = known.brokenOff.get(call.id) ?? 0
  if (call.kind === 'long') return brokenOff >= ATTEMPTS
  return brokenOff > 0 || known.stoppedUnheard.has(call.id) || hasLapsed(call, span, known)
}

/** Where nothing may be made anew, a stopped run is lost with its memory: no engine that had it would take it. */
function hasLapsed({ id }: CallRecord, span: Span, known: Entitlements): boolean {
  if (!known.memories.lapsed.has(id)) return false
  const wasTurnedAway = (known.turnedAway.get(id) ?? 0) >= TURNED_AWAY_OFTEN
  return wasTurnedAway || known.evacuations.some((one) => overlap(one, span))
}

function overlap(one: Span, other: Span): boolean {
  return one.from <= other.to && other.from <= one.to
}

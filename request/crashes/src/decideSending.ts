import type { ContentDigest } from './contentDigest'
import type { CrashTracker } from './crashTracker'
import type { ContentRefusal } from './crashTypes'

/** What {@link decideSending} goes by. */
export interface SendingState {
  tracker: CrashTracker
  content: ContentDigest
  service: string
  /** Whether the service has endpoints enough that one may be reserved for isolated trials; asked only where it matters. */
  hasTrials: () => boolean
  /** Endpoints that were lost under this very request and of which this machine has yet to learn whether they crashed. */
  unconfirmed: number
}

/** What must happen before a request may leave for an endpoint. */
export type SendingDecision =
  | { type: 'send' }
  | { type: 'refuse'; refusal: ContentRefusal }
  /** Its own losses would decide, and are confirmed or refuted within some tens of milliseconds. */
  | { type: 'await-confirmation' }
  /** It may run where nothing else does, if the leader has an endpoint for that. */
  | { type: 'isolate' }
  /** It may run beside others, but not beside another run of the same content, as far as the leader knows. */
  | { type: 'serialize' }

/** Decides right before each sending whether it may leave. Relays of entries and the model of them in tests call it. */
export function decideSending(state: SendingState): SendingDecision {
  const { tracker, content, service, unconfirmed } = state
  const refusal = refusalOf(state)
  if (refusal !== undefined) return { type: 'refuse', refusal }
  // A repeat that does not wait takes one more endpoint down, beside others, so that its crash proves nothing.
  if (unconfirmed > 0 && tracker.isSuspect(content, unconfirmed)) return { type: 'await-confirmation' }
  if (tracker.isSuspect(content)) return { type: 'isolate' }
  // Runs side by side would come to three crashes before the first is confirmed. What was served lately is no such content.
  const isDoubtful = tracker.countUnclearedCrashes(content) + unconfirmed > 0 || tracker.isCrashStorm(service)
  return isDoubtful && !tracker.wasServed(content) ? { type: 'serialize' } : { type: 'send' }
}

/** Why a content must reach no endpoint of its service; undefined where it may. */
export function refusalOf({
  tracker,
  content,
  hasTrials,
}: Pick<SendingState, 'tracker' | 'content' | 'hasTrials'>): ContentRefusal | undefined {
  const byCrashCount = tracker.refusalByCrashCount(content)
  const byBlame = tracker.refusalByBlame(content)
  if (byCrashCount === undefined && byBlame === undefined) return undefined
  return hasTrials() ? byCrashCount : byBlame
}

import type { ContentDigest } from './contentDigest'
import type { CrashTracker } from './crashTracker'
import type { ContentRefusal } from './crashTypes'
import type { PartDigest } from './partDigest'

/** The input of {@link decideSending}. */
export interface SendingState {
  tracker: CrashTracker
  content: ContentDigest
  /** Prompt parts that the request may share with others; absent if it names none. */
  parts?: PartDigest[]
  service: string
  /**
   * Whether the service has enough endpoints to reserve one for isolated trials. Called only where the answer matters.
   */
  hasTrials: () => boolean
  /** Number of endpoints that lost this request and of which it is not yet known whether they crashed. */
  unconfirmed: number
}

/** What must happen before a request may be sent to an endpoint. */
export type SendingDecision =
  | { type: 'send' }
  | { type: 'refuse'; refusal: ContentRefusal }
  /** The request's own losses decide; they are confirmed or refuted within some tens of milliseconds. */
  | { type: 'await-confirmation' }
  /** The request may run only at an endpoint that the leader reserves for it. */
  | { type: 'isolate' }
  /** The request may run beside others, but not beside another run of its content; the leader grants turns. */
  | { type: 'serialize' }

/**
 * Decides whether a request may be sent, right before each attempt. Called by the relays of entries and by the
 * simulation in the tests.
 */
export function decideSending(state: SendingState): SendingDecision {
  const { tracker, content, service, unconfirmed } = state
  const refusal = refusalOf(state)
  if (refusal !== undefined) return { type: 'refuse', refusal }
  // A retry that did not wait could crash one more endpoint beside other requests, which would prove nothing.
  if (unconfirmed > 0 && tracker.isSuspect(content, unconfirmed)) return { type: 'await-confirmation' }
  if (tracker.isSuspect(content)) return { type: 'isolate' }
  // Parallel runs would reach three crashes before the first is confirmed. A content that was served recently is not
  // such a content.
  const isDoubtful = tracker.countUnclearedCrashes(content) + unconfirmed > 0 || tracker.isCrashStorm(service)
  return isDoubtful && !tracker.wasServed(content) ? { type: 'serialize' } : { type: 'send' }
}

/** Returns why a content must not be sent to any endpoint of its service; undefined if it may be sent. */
export function refusalOf({
  tracker,
  content,
  parts = [],
  hasTrials,
}: Pick<SendingState, 'tracker' | 'content' | 'parts' | 'hasTrials'>): ContentRefusal | undefined {
  const byParts = tracker.refusalByParts(parts)
  if (byParts !== undefined) return byParts
  const byCrashCount = tracker.refusalByCrashCount(content)
  const byBlame = tracker.refusalByBlame(content)
  if (byCrashCount === undefined && byBlame === undefined) return undefined
  return hasTrials() ? byCrashCount : byBlame
}

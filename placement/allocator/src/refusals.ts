import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision } from './allocatorTypes'

/** Who is sent away for want of room comes back after these shares of its time left, spread evenly. */
const MIN_RETRY_SHARE = 0.24
const MAX_RETRY_SHARE = 0.32
/** A step that spreads any number of requests evenly between 0 and 1. */
const GOLDEN_STEP = 0.618
/** What cold engines bear comes by the second: callers return spread over one. */
const COLD_RETRY_SPREAD_MS = 1_000
/** Why requests are refused where only cold engines are there, which may get no more now. */
export const COLD_REASON = 'cold engines get no more now'

/** Why a request is refused whose service the sheet in force does not have. */
export const UNKNOWN_SERVICE = 'the service is not known'

/** Why a request is refused whose regions have no decode engine, where others have. */
export const REGION_REASON = 'no decode engine in its regions'
/** When to come back then: a region that was cut off is back within seconds at the earliest. */
export const REGION_RETRY_MS: Millis = 2_000

/** A refusal, and after how long its caller should come back. */
export function refused(reason: string, retryAfterMs: Millis): PlaceDecision {
  return { type: 'refused', reason, retryAfterMs }
}

/** Tells callers that are sent away when to come back: one after the other. */
export class Refusals {
  private refusedCount = 0

  /**
   * Refuses for want of room: callers come back late enough for a short peak to have passed, or, where only the budget
   * of cold engines binds, from when there is some.
   * @param coldMs until cold engines, which are all there are, may take another request; undefined where that is not so.
   */
  forCapacity(reason: string, { leftMs }: PlaceAsk, coldMs: Millis | undefined): PlaceDecision {
    this.refusedCount += 1
    const spread = (this.refusedCount * GOLDEN_STEP) % 1
    if (coldMs !== undefined) return refused(COLD_REASON, coldMs + spread * COLD_RETRY_SPREAD_MS)
    return refused(reason, leftMs * (MIN_RETRY_SHARE + (MAX_RETRY_SHARE - MIN_RETRY_SHARE) * spread))
  }
}

import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision } from './allocatorTypes'

/** Bounds of the retry time after a refusal for lack of capacity, as shares of the caller's time left. */
const MIN_RETRY_SHARE = 0.24
const MAX_RETRY_SHARE = 0.32
/** Golden ratio step: spreads any number of requests evenly between 0 and 1. */
const GOLDEN_STEP = 0.618
/** Limits of cold engines are per second, so retries are spread over one second. */
const COLD_RETRY_SPREAD_MS = 1_000
/** Refusal reason if there are only cold engines and all have reached their limit. */
export const COLD_REASON = 'cold engines get no more now'

/** Refusal reason if the service is not in the current sheet. */
export const UNKNOWN_SERVICE = 'the service is not known'

/** Refusal reason if there are decode engines, but none in the request's regions. */
export const REGION_REASON = 'no decode engine in its regions'
/** Retry time for that reason: a region that was cut off takes at least seconds to return. */
export const REGION_RETRY_MS: Millis = 2_000

/** Refusal reason if no engine of the version that began the stream is registered. */
export const NO_VERSION_REASON = 'no engine of the version that began the stream'
/** Retry time for that reason: the version returns only with a rollback. */
export const NO_VERSION_RETRY_MS: Millis = 5_000
/** Refusal reason if the engines of the version that began the stream take nothing now. */
export const VERSION_UNAVAILABLE_REASON = 'the engines of the version that began the stream take nothing now'

/** Creates a refusal with the time after which the caller should retry. */
export function refused(reason: string, retryAfterMs: Millis): PlaceDecision {
  return { type: 'refused', reason, retryAfterMs }
}

/** Creates refusals whose retry times are spread, so that callers return one after the other. */
export class Refusals {
  private refusedCount = 0

  /**
   * Refuses for lack of capacity: callers retry late enough for a short peak to have passed or, if only the limit of
   * cold engines binds, from when a request is allowed again.
   * @param coldMs time until cold engines may take another request, in milliseconds; undefined unless all engines are
   * cold.
   */
  forCapacity(reason: string, { leftMs }: PlaceAsk, coldMs: Millis | undefined): PlaceDecision {
    this.refusedCount += 1
    const spread = (this.refusedCount * GOLDEN_STEP) % 1
    if (coldMs !== undefined) return refused(COLD_REASON, coldMs + spread * COLD_RETRY_SPREAD_MS)
    return refused(reason, leftMs * (MIN_RETRY_SHARE + (MAX_RETRY_SHARE - MIN_RETRY_SHARE) * spread))
  }
}

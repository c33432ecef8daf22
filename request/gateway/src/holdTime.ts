import type { Millis } from '@forkstage/types'

/** The longest wait for a place, in targets: callers give a silent stream up at four. */
const LONGEST_HOLD_IN_TARGETS = 3.4
/** The share of the time left that a request may wait. */
const SHARE_OF_LEFT = 0.4

/**
 * The longest that a model request may wait for a place.
 * @param targetMs the route's time to the first event.
 * @param leftMs time left until its caller gives up.
 * @param silentMs how long its caller has heard nothing by now: a sending that failed has taken its time already.
 */
export function holdTime(targetMs: Millis, leftMs: Millis, silentMs: Millis): Millis {
  return Math.max(0, Math.min(targetMs * LONGEST_HOLD_IN_TARGETS - silentMs, leftMs * SHARE_OF_LEFT))
}

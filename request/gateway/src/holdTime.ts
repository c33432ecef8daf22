import type { Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** The longest wait for a place, in targets: callers give a silent stream up at four. */
const MAX_HOLD_IN_TARGETS = 3.4
/** A caller gives up a stream that is silent for so many targets, so many of its longest pauses, or this time. */
const PATIENCE_IN_TARGETS = 4
const PATIENCE_IN_PAUSES = 8
const MIN_PATIENCE_MS = 2_000
/** The share of the time left that a request may wait. */
const HOLD_SHARE_OF_TIME_LEFT = 0.4

/**
 * The longest that a model request may wait for a place.
 * @param targetMs the route's time to the first event.
 * @param leftMs time left until its caller gives up.
 * @param silentMs how long its caller has heard nothing by now: a sending that failed has taken its time already.
 */
export function holdTime(targetMs: Millis, leftMs: Millis, silentMs: Millis): Millis {
  return Math.max(0, Math.min(targetMs * MAX_HOLD_IN_TARGETS - silentMs, leftMs * HOLD_SHARE_OF_TIME_LEFT))
}

/** How long a model request may wait for a place, and until when its first event must be there to be of use. */
export function waitTimes(
  { targetMs, pauseMs = 0 }: Pick<Route, 'targetMs' | 'pauseMs'>,
  leftMs: Millis,
  silentMs: Millis,
): { holdMs: Millis; patienceMs: Millis } {
  const longestMs = Math.max(targetMs * PATIENCE_IN_TARGETS, pauseMs * PATIENCE_IN_PAUSES, MIN_PATIENCE_MS)
  return {
    holdMs: holdTime(targetMs, leftMs, silentMs),
    patienceMs: Math.min(longestMs - silentMs, leftMs),
  }
}

import type { Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** The longest wait for a placement, in targets; callers abandon a silent stream after four targets. */
const MAX_HOLD_IN_TARGETS = 3.4
/** Callers abandon a stream once it is silent for the longest of these: targets, allowed pauses, milliseconds. */
const PATIENCE_IN_TARGETS = 4
const PATIENCE_IN_PAUSES = 8
const MIN_PATIENCE_MS = 2_000
/** Share of the remaining time that a request may wait for a placement. */
const HOLD_SHARE_OF_TIME_LEFT = 0.4

/**
 * Returns how long a model request may wait for a placement, in milliseconds.
 * @param targetMs the route's target for the time to the first event.
 * @param leftMs time left until the deadline of the request.
 * @param silentMs time since the caller last received anything; failed sendings count towards it.
 */
export function holdTime(targetMs: Millis, leftMs: Millis, silentMs: Millis): Millis {
  return Math.max(0, Math.min(targetMs * MAX_HOLD_IN_TARGETS - silentMs, leftMs * HOLD_SHARE_OF_TIME_LEFT))
}

/** Returns how long a model request may wait for a placement, and within what time its first event must arrive to be of use. */
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

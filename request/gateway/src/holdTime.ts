import type { Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** The share of the time to the first event that may be spent waiting for a place. */
const SHARE_OF_TARGET = 0.7
/** How long a request that is late already waits, in targets: callers give a silent stream up at four. */
const TARGETS_WHEN_LATE = 3.4
/** The share of the time left that it may wait then. */
const SHARE_WHEN_LATE = 0.4

/**
 * How long a model request may wait for a place.
 * @param targetMs time left until its first event should be there; below 0 for one that is late already.
 * @param leftMs time left until its caller gives up.
 */
export function holdTime(route: Route, targetMs: Millis, leftMs: Millis): Millis {
  if (targetMs > 0) return targetMs * SHARE_OF_TARGET
  return Math.max(0, Math.min(route.targetMs * TARGETS_WHEN_LATE, leftMs * SHARE_WHEN_LATE))
}

import type { Millis } from '@forkstage/types'

/** An entry may add this share of its routes' smallest target latency to a request, each time that one waits for it. */
const TARGET_SHARE = 0.1
/** Timers and connects vary by this much on a machine that keeps up. */
const MIN_MS: Millis = 15
/** The calls between machines, whose timeouts do not depend on the routes, bear no more. */
const MAX_MS: Millis = 100

/**
 * Returns the standing delay that an entry may add by itself. A request waits for its entry several times: to be accepted and
 * read, for the connection to its endpoint, and for its answer.
 * @param targetMs the smallest target latency of the routes in force; undefined where there are none.
 */
export function maxOwnDelay(targetMs: Millis | undefined): Millis {
  if (targetMs === undefined) return MIN_MS
  return Math.min(MAX_MS, Math.max(MIN_MS, targetMs * TARGET_SHARE))
}

const SECOND_MS = 1_000
/** Part of the grace time for which a stopping machine may wait; the rest is for requests that still run. */
const MAX_UNREADY_SHARE = 0.5

/** Returns the most that `stop.unready_ms` may be with a grace time, in milliseconds. */
export function maxUnreadyMs(graceS: number): number {
  return graceS * SECOND_MS * MAX_UNREADY_SHARE
}

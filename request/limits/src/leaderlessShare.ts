import type { Millis } from '@forkstage/types'
import { PLACED_SEND_LIMIT_MS } from './limitTypes'
import { bucketCapacity } from './tokenBucket'

/** How far all entries together may exceed a named rate, since they do not know of each other at once. */
export interface LimitTolerance {
  windowMs: Millis
  /** As a share of what the rate allows in a window. */
  over: number
  /** Requests beside that. */
  slack: number
}

const SECOND_MS = 1_000

/**
 * Requests that all entries without a leader's word may send together to an endpoint in any window: what the tolerance
 * leaves beside all that leaders may have permitted others, some of it a while before it leaves.
 */
export function leaderlessShare(perSecond: number, { windowMs, over, slack }: LimitTolerance): number {
  const most = (perSecond * windowMs * (1 + over)) / SECOND_MS + slack
  const led = (perSecond * (windowMs + PLACED_SEND_LIMIT_MS)) / SECOND_MS + bucketCapacity(perSecond)
  return Math.max(0, most - led)
}

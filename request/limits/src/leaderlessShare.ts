import type { Millis } from '@forkstage/types'
import { PLACED_SEND_LIMIT_MS } from './limitTypes'
import { bucketCapacity } from './tokenBucket'

/** How far all entries together may exceed an advertised rate, because they learn of each other with a delay. */
export interface LimitTolerance {
  windowMs: Millis
  /** As a share of the requests that the rate allows in a window. */
  over: number
  /** Requests on top of that share. */
  slack: number
}

const SECOND_MS = 1_000

/**
 * Returns how many requests all entries that cannot reach the leader may together send to an endpoint in any window:
 * what is tolerated minus what the leader may have granted to others. A request that the leader placed counts at its
 * placement and may be sent up to `PLACED_SEND_LIMIT_MS` later.
 */
export function leaderlessShare(perSecond: number, { windowMs, over, slack }: LimitTolerance): number {
  const most = (perSecond * windowMs * (1 + over)) / SECOND_MS + slack
  const sentWithLeader =
    (perSecond * (windowMs + PLACED_SEND_LIMIT_MS)) / SECOND_MS + bucketCapacity(perSecond)
  return Math.max(0, most - sentWithLeader)
}

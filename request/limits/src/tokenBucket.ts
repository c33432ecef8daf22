import type { Millis } from '@forkstage/types'

const SECOND_MS = 1_000
/**
 * A bucket holds what its rate fills in this time: more than the 0.5 s between two reports of an entry, so that a
 * single entry can use the whole rate, and little enough that an overloaded endpoint gets no large burst.
 */
const CAPACITY_MS: Millis = 750

/**
 * Returns the capacity of a bucket in requests; at least 1, since a slow rate would otherwise never let a request
 * through.
 */
export function bucketCapacity(perSecond: number): number {
  return perSecond === 0 ? 0 : Math.max(1, (perSecond * CAPACITY_MS) / SECOND_MS)
}

/** Limits requests to a rate per second. Starts empty, since requests already in flight count as its first. */
export class TokenBucket {
  private level = 0

  constructor(private at: Millis) {}

  /** Returns how many whole requests may pass now. */
  available(perSecond: number, now: Millis): number {
    const filled = (perSecond * Math.max(0, now - this.at)) / SECOND_MS
    this.at = Math.max(this.at, now)
    this.level = Math.min(bucketCapacity(perSecond), this.level + filled)
    return Math.floor(this.level)
  }

  /** Removes tokens, or returns them where `count` is negative. */
  take(count: number): void {
    this.level -= count
  }
}

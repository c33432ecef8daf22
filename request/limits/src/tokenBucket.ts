import type { Millis } from '@forkstage/types'

const SECOND_MS = 1_000
/**
 * What a bucket keeps is what its rate fills in this time: more than entries take between two reports (0.5 s), so that one
 * entry alone gets the whole rate, and little enough that an endpoint in need is not sent much at once.
 */
const CAPACITY_MS: Millis = 750

/** The most that a bucket of so many a second holds; one at least, or slow ones would never let anything through. */
export function bucketCapacity(perSecond: number): number {
  return perSecond === 0 ? 0 : Math.max(1, (perSecond * CAPACITY_MS) / SECOND_MS)
}

/** Lets through so many requests a second. Begins empty: what is under way counts as its first. */
export class TokenBucket {
  private level = 0

  constructor(private at: Millis) {}

  /** How many whole requests may pass now. */
  available(perSecond: number, now: Millis): number {
    const filled = (perSecond * Math.max(0, now - this.at)) / SECOND_MS
    this.at = Math.max(this.at, now)
    this.level = Math.min(bucketCapacity(perSecond), this.level + filled)
    return Math.floor(this.level)
  }

  /** Takes requests that may pass, or gives them back where they are below 0. */
  take(count: number): void {
    this.level -= count
  }
}

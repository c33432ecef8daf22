import type { Millis } from '@forkstage/types'

/** Answers slower than this share of their target make the limit smaller. */
const SLOW_SHARE = 0.7
/** Answers faster than this share make it larger. */
const FAST_SHARE = 0.45
const SMALLER_WHEN_SLOW = 0.95
const SMALLER_WHEN_FULL = 0.75
const LARGER_STEP = 0.15
const MOST_PER_SLOT = 2

/**
 * How many requests this entry keeps at one endpoint at once: grows while answers are well in time and shrinks
 * when they are not, so that all entries together find what the endpoint bears without asking each other.
 */
export class ConcurrencyLimit {
  private limit: number
  private readonly most: number

  /** @param slots requests that the endpoint works on at once. */
  constructor(slots: number) {
    this.most = Math.max(1, slots) * MOST_PER_SLOT
    this.limit = Math.max(1, slots)
  }

  get value(): number {
    return this.limit
  }

  /** Learns from a whole answer. */
  noteAnswer(tookMs: Millis, targetMs: Millis): void {
    if (tookMs > targetMs * SLOW_SHARE) this.limit = Math.max(1, this.limit * SMALLER_WHEN_SLOW)
    else if (tookMs < targetMs * FAST_SHARE) this.limit = Math.min(this.most, this.limit + LARGER_STEP)
  }

  /** The endpoint said that it has no room. */
  noteFull(): void {
    this.limit = Math.max(1, this.limit * SMALLER_WHEN_FULL)
  }
}

import type { Millis } from '@forkstage/types'

/** Answers slower than this share of their target make the limit smaller. */
const SLOW_SHARE = 0.7
/** Answers faster than this share make it larger. */
const FAST_SHARE = 0.45
const SLOW_DECREASE_FACTOR = 0.95
const FULL_DECREASE_FACTOR = 0.75
const FAST_INCREASE_STEP = 0.15
const MAX_PER_SLOT = 2

/**
 * How many requests this entry keeps at one endpoint at once: grows while answers are well in time and shrinks
 * when they are not, so that all entries together find what the endpoint bears without asking each other.
 */
export class ConcurrencyLimit {
  private limit: number
  private readonly max: number

  /** @param slots requests that the endpoint works on at once. */
  constructor(slots: number) {
    this.max = Math.max(1, slots) * MAX_PER_SLOT
    this.limit = Math.max(1, slots)
  }

  get value(): number {
    return this.limit
  }

  /** Learns from a whole answer. */
  recordAnswer(tookMs: Millis, targetMs: Millis): void {
    if (tookMs > targetMs * SLOW_SHARE) this.limit = Math.max(1, this.limit * SLOW_DECREASE_FACTOR)
    else if (tookMs < targetMs * FAST_SHARE) this.limit = Math.min(this.max, this.limit + FAST_INCREASE_STEP)
  }

  /** The endpoint said that it has no room. */
  recordFull(): void {
    this.limit = Math.max(1, this.limit * FULL_DECREASE_FACTOR)
  }
}

import type { Millis } from '@forkstage/types'

/** Answers slower than this share of their target lower the limit. */
const SLOW_SHARE = 0.7
/** Answers faster than this share of their target raise the limit. */
const FAST_SHARE = 0.45
const SLOW_DECREASE_FACTOR = 0.95
const FULL_DECREASE_FACTOR = 0.75
const FAST_INCREASE_STEP = 0.15
const MAX_PER_SLOT = 2

/**
 * Limit on the requests that this entry has at one endpoint at once. It rises while answers are well within their
 * target and falls when they are not, so that all entries together find the endpoint's capacity without coordination.
 */
export class ConcurrencyLimit {
  private limit: number
  private readonly max: number

  /** @param slots requests that the endpoint processes at once. */
  constructor(slots: number) {
    this.max = Math.max(1, slots) * MAX_PER_SLOT
    this.limit = Math.max(1, slots)
  }

  get value(): number {
    return this.limit
  }

  /** Adjusts the limit by the duration of a complete answer. */
  recordAnswer(tookMs: Millis, targetMs: Millis): void {
    if (tookMs > targetMs * SLOW_SHARE) this.limit = Math.max(1, this.limit * SLOW_DECREASE_FACTOR)
    else if (tookMs < targetMs * FAST_SHARE) this.limit = Math.min(this.max, this.limit + FAST_INCREASE_STEP)
  }

  /** Lowers the limit after the endpoint has refused a request as full. */
  recordFull(): void {
    this.limit = Math.max(1, this.limit * FULL_DECREASE_FACTOR)
  }
}

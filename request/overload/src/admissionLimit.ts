import type { Millis } from '@forkstage/types'

/** What a check has found. */
export interface LoadState {
  now: Millis
  /** Whether the machine adds more delay by itself than it may. */
  isDelayed: boolean
  /** Requests in progress. */
  running: number
}

/** A shorter delay is a pause of the process, such as a collection of garbage or a thaw. */
const ONSET_MS: Millis = 200
/** The limit is never lower: an entry with so few requests in progress is not overloaded, only slow. */
const MIN_LIMIT = 8
/** The limit falls by this factor at most in the time that a change needs to show in the delay. */
const MAX_DECREASE_FACTOR = 0.7
const DECREASE_SPAN_MS: Millis = 200
const INCREASE_EVERY_MS: Millis = 100
/** The limit is lifted once it has kept nothing out for this time. */
const LIFT_AFTER_MS: Millis = 1_000

/**
 * Limit on the requests in progress at one entry; there is none until the entry delays its callers' requests by itself. While
 * it does, the limit follows the requests in progress down, so that it stands at what the entry can carry once the delay is
 * over, however long these requests last. Then it rises as long as it keeps any out.
 */
export class AdmissionLimit {
  private limit = Infinity
  /** When the delay began. */
  private delayedSince: Millis | undefined
  /** When the limit began to fall, and from what. */
  private falling: { since: Millis; from: number } | undefined
  private increasedAt: Millis = -Infinity
  private reachedAt: Millis = -Infinity

  /** Infinity while nothing is limited. */
  get value(): number {
    return this.limit
  }

  get isLimiting(): boolean {
    return this.limit < Infinity
  }

  /** Whether one more request than so many in progress is within the limit. */
  allows(running: number, now: Millis): boolean {
    if (running < this.limit) return true
    this.reachedAt = now
    return false
  }

  /** Adjusts the limit; call it several times per {@link DECREASE_SPAN_MS} while requests are in progress. */
  update(state: LoadState): void {
    if (state.isDelayed) return this.decrease(state)
    this.delayedSince = undefined
    this.falling = undefined
    this.increase(state.now)
  }

  private decrease({ now, running }: LoadState): void {
    this.delayedSince ??= now
    if (!this.isLimiting && (running <= MIN_LIMIT || now - this.delayedSince < ONSET_MS)) return
    if (!this.isLimiting) this.reachedAt = now
    this.falling ??= { since: now, from: Math.min(this.limit, running) }
    const spans = 1 + Math.floor((now - this.falling.since) / DECREASE_SPAN_MS)
    const lowest = Math.max(MIN_LIMIT, this.falling.from * MAX_DECREASE_FACTOR ** spans)
    this.limit = Math.max(lowest, Math.min(this.limit, running))
  }

  private increase(now: Millis): void {
    if (!this.isLimiting || now - this.increasedAt < INCREASE_EVERY_MS) return
    this.increasedAt = now
    const unreachedMs = now - this.reachedAt
    if (unreachedMs >= LIFT_AFTER_MS) this.limit = Infinity
    else if (unreachedMs < INCREASE_EVERY_MS) this.limit += 1
  }
}

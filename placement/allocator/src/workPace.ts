import type { Millis } from '@forkstage/types'
import { DecayingSum } from '@forkstage/rates'

/** The prior counts as much as this much observed work time. */
const PRIOR_MS = 50
/** With less recent work time than this, an engine's pace cannot be judged. */
const MIN_OBSERVED_MS = 250

/** Estimates an engine's time per unit of work from recent observations. */
export class WorkPace {
  private readonly time: DecayingSum
  private readonly work: DecayingSum
  /** When work was last observed. */
  lastSeenAt: Millis = -Infinity

  /** @param memoryMs age at which an observation counts for a third, in milliseconds. */
  constructor(memoryMs: Millis) {
    this.time = new DecayingSum(memoryMs)
    this.work = new DecayingSum(memoryMs)
  }

  /** Adds the work done in a time; a time without work counts as well. */
  add(work: number, tookMs: Millis, now: Millis): void {
    this.time.add(tookMs, now)
    this.work.add(work, now)
    this.lastSeenAt = now
  }

  /** Whether there are enough recent observations to compare the engine with its peers. */
  hasEnoughData(now: Millis): boolean {
    return this.time.total(now) >= MIN_OBSERVED_MS
  }

  /**
   * Returns the milliseconds per unit of work, which move to the prior as observations age.
   * @param prior milliseconds per unit of work, assumed without observations.
   */
  msPerUnit(prior: Millis, now: Millis): Millis {
    const priorWork = PRIOR_MS / prior
    return (this.time.total(now) + PRIOR_MS) / (this.work.total(now) + priorWork)
  }
}

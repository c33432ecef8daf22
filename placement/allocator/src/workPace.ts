import type { Millis } from '@forkstage/types'
import { FadingSum } from '@forkstage/rates'

/** The belief without evidence counts as much as so much time of work that was seen. */
const PRIOR_MS = 50
/** Below this much time of work seen lately an engine's pace says nothing of it. */
const MIN_OBSERVED_MS = 250

/** How much time one engine takes for a unit of work, by what was seen of it lately. */
export class WorkPace {
  private readonly time: FadingSum
  private readonly work: FadingSum
  /** When something was last seen of it. */
  lastSeenAt: Millis = -Infinity

  /** @param memoryMs after this time what was seen counts for a third. */
  constructor(memoryMs: Millis) {
    this.time = new FadingSum(memoryMs)
    this.work = new FadingSum(memoryMs)
  }

  /** Adds work done in a time; no work in a time is evidence too. */
  add(work: number, tookMs: Millis, now: Millis): void {
    this.time.add(tookMs, now)
    this.work.add(work, now)
    this.lastSeenAt = now
  }

  /** Whether enough was seen lately to compare it with its peers. */
  hasEnoughData(now: Millis): boolean {
    return this.time.total(now) >= MIN_OBSERVED_MS
  }

  /**
   * Milliseconds for a unit of work; drawn to the belief without evidence, and back to it as evidence grows old.
   * @param prior milliseconds for a unit, believed without evidence.
   */
  msPerUnit(prior: Millis, now: Millis): Millis {
    const priorWork = PRIOR_MS / prior
    return (this.time.total(now) + PRIOR_MS) / (this.work.total(now) + priorWork)
  }
}

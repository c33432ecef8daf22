import type { Millis } from '@forkstage/types'
import { FadingSum } from './fadingSum'
import type { StageNeed } from './planStages'

/** The time over which demand is averaged: longer than a change of an engine's part takes. */
const MEMORY_MS = 8_000
/** A few requests close together say nothing yet. */
const SURE_AFTER_MS = 2_000
/** How full an engine's memory can be kept without putting requests back. */
const USABLE_MEMORY = 0.8

/** Averages what callers ask of one service's engines. */
export class DemandMeter {
  private readonly prefillMs = new FadingSum(MEMORY_MS)
  private readonly tokenMs = new FadingSum(MEMORY_MS)

  /**
   * Notes a request that was asked for the first time.
   * @param prefillMs how long an engine reads its prompt.
   * @param tokenMs the memory it will hold, over the time that it holds it.
   */
  note(prefillMs: Millis, tokenMs: number, now: Millis): void {
    this.prefillMs.add(prefillMs, now)
    this.tokenMs.add(tokenMs, now)
  }

  /** Whether it has averaged long enough to be acted on. */
  isSure(now: Millis): boolean {
    return this.prefillMs.seenFor(now) >= SURE_AFTER_MS
  }

  /** How many engines each half would keep busy, for engines with this much memory. */
  need(kvTokens: number, now: Millis): StageNeed {
    return {
      prefill: this.prefillMs.perMs(now),
      decode: this.tokenMs.perMs(now) / (kvTokens * USABLE_MEMORY),
    }
  }
}

import type { Millis } from '@forkstage/types'
import type { EnginePace } from './enginePace'
import { FadingSum } from '@forkstage/rates'
import type { StageNeed } from './planStages'

/** The time over which demand is averaged: longer than a change of an engine's part takes. */
const MEMORY_MS = 8_000
/** A few requests close together say nothing yet. */
const MIN_OBSERVED_MS = 2_000
/** How full an engine's memory can be kept without putting requests back. */
const USABLE_MEMORY_SHARE = 0.8

/** Averages what callers ask of one service's engines, whatever the engines' pace. */
export class DemandMeter {
  private readonly promptTokens = new FadingSum(MEMORY_MS)
  private readonly heldTokens = new FadingSum(MEMORY_MS)

  /**
   * Notes a request that was asked for the first time.
   * @param promptTokens what an engine reads.
   * @param heldTokens the memory it will hold, over the tokens that it makes meanwhile: tokens times tokens.
   */
  record(promptTokens: number, heldTokens: number, now: Millis): void {
    this.promptTokens.add(promptTokens, now)
    this.heldTokens.add(heldTokens, now)
  }

  /** Whether it has averaged long enough to be acted on. */
  hasEnoughData(now: Millis): boolean {
    return this.promptTokens.seenFor(now) >= MIN_OBSERVED_MS
  }

  /** How many engines that are well each half would keep busy: slow ones are less supply, not more demand. */
  need(kvTokens: number, pace: EnginePace, now: Millis): StageNeed {
    return {
      prefill: pace.prefillMs(this.promptTokens.perMs(now)),
      decode: (this.heldTokens.perMs(now) * pace.typicalMsPerToken(now)) / (kvTokens * USABLE_MEMORY_SHARE),
    }
  }
}

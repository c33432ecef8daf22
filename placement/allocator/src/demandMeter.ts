import type { Millis } from '@forkstage/types'
import type { EnginePace } from './enginePace'
import { DecayingSum } from '@forkstage/rates'
import type { StageNeed } from './planStages'

/** The time over which demand is averaged: longer than a stage change takes. */
const MEMORY_MS = 8_000
/** Time before demand is acted on: a few requests close together say nothing yet. */
const MIN_OBSERVED_MS = 2_000
/** Share of an engine's memory that can be filled without delaying requests. */
const USABLE_MEMORY_SHARE = 0.8

/** Averages the demand on one service's engines, independent of their pace. */
export class DemandMeter {
  private readonly promptTokens = new DecayingSum(MEMORY_MS)
  private readonly heldTokens = new DecayingSum(MEMORY_MS)

  /**
   * Records a request that has arrived for the first time.
   * @param promptTokens tokens to prefill.
   * @param heldTokens the memory that it will hold, summed over its decode steps: tokens times steps.
   */
  record(promptTokens: number, heldTokens: number, now: Millis): void {
    this.promptTokens.add(promptTokens, now)
    this.heldTokens.add(heldTokens, now)
  }

  /** Whether demand has been averaged for long enough to be acted on. */
  hasEnoughData(now: Millis): boolean {
    return this.promptTokens.observedFor(now) >= MIN_OBSERVED_MS
  }

  /**
   * Returns how many healthy engines the demand would keep busy per stage. Slow engines are less supply, not more
   * demand.
   */
  need(kvTokens: number, pace: EnginePace, now: Millis): StageNeed {
    return {
      prefill: pace.prefillMs(this.promptTokens.perMs(now)),
      decode: (this.heldTokens.perMs(now) * pace.typicalMsPerToken(now)) / (kvTokens * USABLE_MEMORY_SHARE),
    }
  }
}

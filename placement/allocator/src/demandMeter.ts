import type { Millis } from '@forkstage/types'
import type { StageNeed } from './planStages'

/** The time over which demand is averaged: longer than a change of an engine's part takes. */
const MEMORY_MS = 8_000
/** A few requests close together say nothing yet. */
const SURE_AFTER_MS = 2_000
/** How full an engine's memory can be kept without putting requests back. */
const USABLE_MEMORY = 0.8

/** Averages what callers ask of one service's engines. */
export class DemandMeter {
  private prefillMs = 0
  private tokenMs = 0
  private startedAt: Millis | undefined
  private updatedAt: Millis = 0

  /**
   * Notes a request that was asked for the first time.
   * @param prefillMs how long an engine reads its prompt.
   * @param tokenMs the memory it will hold, over the time that it holds it.
   */
  note(prefillMs: Millis, tokenMs: number, now: Millis): void {
    this.startedAt ??= now
    this.fade(now)
    this.prefillMs += prefillMs
    this.tokenMs += tokenMs
  }

  /** Whether it has averaged long enough to be acted on. */
  isSure(now: Millis): boolean {
    return this.startedAt !== undefined && now - this.startedAt >= SURE_AFTER_MS
  }

  /** How many engines each half would keep busy, for engines with this much memory. */
  need(kvTokens: number, now: Millis): StageNeed {
    this.fade(now)
    const seen = this.startedAt === undefined ? 0 : now - this.startedAt
    const window = MEMORY_MS * (1 - Math.exp(-Math.max(1, seen) / MEMORY_MS))
    return {
      prefill: this.prefillMs / window,
      decode: this.tokenMs / window / (kvTokens * USABLE_MEMORY),
    }
  }

  private fade(now: Millis): void {
    const keep = Math.exp(-(now - this.updatedAt) / MEMORY_MS)
    this.prefillMs *= keep
    this.tokenMs *= keep
    this.updatedAt = now
  }
}

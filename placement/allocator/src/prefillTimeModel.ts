import type { Millis } from '@forkstage/types'

/**
 * Assumed until prompts of different lengths have been prefilled alone; models prefill 33 to 55 tokens per
 * millisecond.
 */
const PRIOR_MS_PER_TOKEN = 1 / 40
/** Decay per prompt: about the last fifty decide. */
const DECAY = 0.98
/** The prior counts as much as this many prompts whose length differs from the mean by `PRIOR_SPREAD_TOKENS`. */
const PRIOR_PROMPTS = 3
const PRIOR_SPREAD_TOKENS = 1_000
/** Engines are assumed to be at most this many times faster than the prior. */
const MAX_SPEEDUP = 10

/** Models the prefill time of healthy engines: a line through the lengths and times of prompts that did not queue. */
export class PrefillTimeModel {
  private readonly sums = { n: 0, x: 0, y: 0, xx: 0, xy: 0 }

  /** Returns how long an engine is busy with a prompt, in milliseconds; the next prompt starts then. */
  busyMs(promptTokens: number): Millis {
    return promptTokens * this.msPerToken()
  }

  /**
   * Returns the delay until the entry learns of a finished prefill, in milliseconds, whatever the prompt's length;
   * the engine goes on meanwhile.
   */
  latencyMs(): Millis {
    const { n, x, y } = this.sums
    return n === 0 ? 0 : Math.max(0, y / n - (this.msPerToken() * x) / n)
  }

  /** Learns from a prompt that did not wait for another. */
  learn(promptTokens: number, tookMs: Millis): void {
    const { sums } = this
    for (const key of Object.keys(sums) as (keyof typeof sums)[]) sums[key] *= DECAY
    sums.n += 1
    sums.x += promptTokens
    sums.y += tookMs
    sums.xx += promptTokens ** 2
    sums.xy += promptTokens * tookMs
  }

  /** Returns the slope of the line in milliseconds per token, drawn to the prior while there are few observations. */
  private msPerToken(): Millis {
    const { n, x, y, xx, xy } = this.sums
    const prior = PRIOR_PROMPTS * PRIOR_SPREAD_TOKENS ** 2
    if (n === 0) return PRIOR_MS_PER_TOKEN
    const spread = Math.max(0, xx - x ** 2 / n)
    const slope = (xy - (x * y) / n + prior * PRIOR_MS_PER_TOKEN) / (spread + prior)
    // The line must rise, and must not predict more time per token than was observed on average.
    return Math.min(Math.max(slope, PRIOR_MS_PER_TOKEN / MAX_SPEEDUP), y / x)
  }
}

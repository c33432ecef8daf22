import type { Millis } from '@forkstage/types'

/** Believed until prompts of different lengths have been read alone; large and small models read 33 to 55. */
const PRIOR_MS_PER_TOKEN = 1 / 40
/** Prompts read earlier count less: about the last fifty decide. */
const DECAY = 0.98
/** The belief of the beginning counts as so many prompts of a length that differs by so much from the mean. */
const PRIOR_PROMPTS = 3
const PRIOR_SPREAD_TOKENS = 1_000
/** Engines are believed to be so much faster than the belief of the beginning at most. */
const MAX_SPEEDUP = 10

/** How long engines that are well take to read a prompt: a line through prompts that waited for no other. */
export class PrefillTimeModel {
  private readonly sums = { n: 0, x: 0, y: 0, xx: 0, xy: 0 }

  /** How long an engine is busy with a prompt, in milliseconds: the next one begins then. */
  busyMs(promptTokens: number): Millis {
    return promptTokens * this.msPerToken()
  }

  /** How much longer it takes until the entry hears of it, whatever the length: the engine reads on meanwhile. */
  latencyMs(): Millis {
    const { n, x, y } = this.sums
    return n === 0 ? 0 : Math.max(0, y / n - (this.msPerToken() * x) / n)
  }

  /** Learns from a prompt that was read without waiting for another. */
  learn(promptTokens: number, tookMs: Millis): void {
    const { sums } = this
    for (const key of Object.keys(sums) as (keyof typeof sums)[]) sums[key] *= DECAY
    sums.n += 1
    sums.x += promptTokens
    sums.y += tookMs
    sums.xx += promptTokens ** 2
    sums.xy += promptTokens * tookMs
  }

  /** The slope of the line through what was read, drawn to the belief of the beginning while little was seen. */
  private msPerToken(): Millis {
    const { n, x, y, xx, xy } = this.sums
    const prior = PRIOR_PROMPTS * PRIOR_SPREAD_TOKENS ** 2
    if (n === 0) return PRIOR_MS_PER_TOKEN
    const spread = Math.max(0, xx - x ** 2 / n)
    const slope = (xy - (x * y) / n + prior * PRIOR_MS_PER_TOKEN) / (spread + prior)
    // No line may fall, nor say that reading takes longer than it was seen to take.
    return Math.min(Math.max(slope, PRIOR_MS_PER_TOKEN / MAX_SPEEDUP), y / x)
  }
}

import type { Millis } from '@forkstage/types'

/** Believed until prompts of different lengths have been read alone; large and small models read 33 to 55. */
const FIRST_READING_MS_PER_TOKEN = 1 / 40
/** Prompts read earlier count less: about the last fifty decide. */
const KEEP = 0.98
/** The belief of the beginning counts as so many prompts of a length that differs by so much from the mean. */
const PRIOR_PROMPTS = 3
const PRIOR_SPREAD_TOKENS = 1_000
/** Engines are believed to be so much faster than the belief of the beginning at most. */
const MOST_UNLIKE = 10

/** How long engines that are well take to read a prompt: a line through prompts that waited for no other. */
export class ReadingLine {
  private readonly read = { n: 0, x: 0, y: 0, xx: 0, xy: 0 }

  /** How long an engine is busy with a prompt, in milliseconds: the next one begins then. */
  busyMs(promptTokens: number): Millis {
    return promptTokens * this.msPerToken()
  }

  /** How much longer it takes until the entry hears of it, whatever the length: the engine reads on meanwhile. */
  latencyMs(): Millis {
    const { n, x, y } = this.read
    return n === 0 ? 0 : Math.max(0, y / n - (this.msPerToken() * x) / n)
  }

  /** Learns from a prompt that was read without waiting for another. */
  learn(promptTokens: number, tookMs: Millis): void {
    const { read } = this
    for (const key of Object.keys(read) as (keyof typeof read)[]) read[key] *= KEEP
    read.n += 1
    read.x += promptTokens
    read.y += tookMs
    read.xx += promptTokens ** 2
    read.xy += promptTokens * tookMs
  }

  /** The slope of the line through what was read, drawn to the belief of the beginning while little was seen. */
  private msPerToken(): Millis {
    const { n, x, y, xx, xy } = this.read
    const prior = PRIOR_PROMPTS * PRIOR_SPREAD_TOKENS ** 2
    if (n === 0) return FIRST_READING_MS_PER_TOKEN
    const spread = Math.max(0, xx - x ** 2 / n)
    const slope = (xy - (x * y) / n + prior * FIRST_READING_MS_PER_TOKEN) / (spread + prior)
    // No line may fall, nor say that reading takes longer than it was seen to take.
    return Math.min(Math.max(slope, FIRST_READING_MS_PER_TOKEN / MOST_UNLIKE), y / x)
  }
}

import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Believed until the first answer or report has told better; a step of a model takes some milliseconds. */
const FIRST_MS_PER_TOKEN = 3
/** Believed until prompts of different lengths have been read alone; large and small models read 33 to 55. */
const FIRST_READING_MS_PER_TOKEN = 1 / 40
/** What one more answer counts against those before it: the last ten or so decide. */
const WEIGHT = 0.1
/** Prompts read earlier count less: about the last fifty decide. */
const KEEP = 0.98
/** The belief of the beginning counts as so many prompts of a length that differs by so much from the mean. */
const PRIOR_PROMPTS = 3
const PRIOR_SPREAD_TOKENS = 1_000
/** Engines are believed to be so much faster than the belief of the beginning at most. */
const MOST_UNLIKE = 10

/** How fast engines read and make tokens, learned from what they do. Outlives a term, unlike places. */
export class EnginePace {
  private readonly msPerToken = new Map<InstanceId, Millis>()
  private readonly read = { n: 0, x: 0, y: 0, xx: 0, xy: 0 }

  /** Whether engines have shown how fast they make tokens; what is believed before may be far off. */
  get isKnown(): boolean {
    return this.msPerToken.size > 0
  }

  /** How long a prefill engine is busy with a prompt, in milliseconds: the next one begins then. */
  readingMs(promptTokens: number): Millis {
    return promptTokens * this.readingMsPerToken()
  }

  /** How much longer it takes until the entry hears of it, whatever the length: the engine reads on meanwhile. */
  readingLatencyMs(): Millis {
    const { n, x, y } = this.read
    return n === 0 ? 0 : Math.max(0, y / n - (this.readingMsPerToken() * x) / n)
  }

  /** How long an engine takes for one token of an answer; of one that has shown nothing yet, the mean of the others. */
  decodingMs(engine: InstanceId): Millis {
    return this.msPerToken.get(engine) ?? this.meanDecodingMs()
  }

  meanDecodingMs(): Millis {
    const known = [...this.msPerToken.values()]
    if (known.length === 0) return FIRST_MS_PER_TOKEN
    return known.reduce((sum, rate) => sum + rate, 0) / known.length
  }

  /** Learns from a prompt that was read without waiting for another. */
  learnReading(promptTokens: number, tookMs: Millis): void {
    const { read } = this
    for (const key of Object.keys(read) as (keyof typeof read)[]) read[key] *= KEEP
    read.n += 1
    read.x += promptTokens
    read.y += tookMs
    read.xx += promptTokens ** 2
    read.xy += promptTokens * tookMs
  }

  /** Learns from tokens that an engine made in a time. */
  learnDecoding(engine: InstanceId, tokens: number, tookMs: Millis): void {
    if (tokens <= 0 || tookMs <= 0) return
    const rate = tookMs / tokens
    const old = this.msPerToken.get(engine) ?? rate
    this.msPerToken.set(engine, old + (rate - old) * WEIGHT)
  }

  /** The slope of the line through what was read, drawn to the belief of the beginning while little was seen. */
  private readingMsPerToken(): Millis {
    const { n, x, y, xx, xy } = this.read
    const prior = PRIOR_PROMPTS * PRIOR_SPREAD_TOKENS ** 2
    if (n === 0) return FIRST_READING_MS_PER_TOKEN
    const spread = Math.max(0, xx - x ** 2 / n)
    const slope = (xy - (x * y) / n + prior * FIRST_READING_MS_PER_TOKEN) / (spread + prior)
    // No line may fall, nor say that reading takes longer than it was seen to take.
    return Math.min(Math.max(slope, FIRST_READING_MS_PER_TOKEN / MOST_UNLIKE), y / x)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.msPerToken.keys()) if (!ids.has(id)) this.msPerToken.delete(id)
  }
}

import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Believed until the first answer or report has told better; a step of a model takes some milliseconds. */
const FIRST_MS_PER_TOKEN = 3
/** Believed until the first prompt has been read alone. */
const FIRST_PROMPT_TOKENS_PER_MS = 40
/** What one more observation counts against those before it: the last ten or so decide. */
const WEIGHT = 0.1

/** How fast engines read and make tokens, learned from what they do. Outlives a term, unlike places. */
export class EnginePace {
  private readonly msPerToken = new Map<InstanceId, Millis>()
  private promptTokensPerMs = FIRST_PROMPT_TOKENS_PER_MS

  /** How long a prefill engine reads a prompt, in milliseconds. */
  readingMs(promptTokens: number): Millis {
    return promptTokens / this.promptTokensPerMs
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
    this.promptTokensPerMs += (promptTokens / tookMs - this.promptTokensPerMs) * WEIGHT
  }

  /** Learns from tokens that an engine made in a time. */
  learnDecoding(engine: InstanceId, tokens: number, tookMs: Millis): void {
    if (tokens <= 0 || tookMs <= 0) return
    const rate = tookMs / tokens
    const old = this.msPerToken.get(engine) ?? rate
    this.msPerToken.set(engine, old + (rate - old) * WEIGHT)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.msPerToken.keys()) if (!ids.has(id)) this.msPerToken.delete(id)
  }
}

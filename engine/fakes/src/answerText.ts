import { createHash } from 'node:crypto'

const WORDS =
  'the meter reads valve flow gate card round check yes no pipe pressure hint unit seal log book tap line'.split(
    ' ',
  )
/** A prompt may say how long its answer shall be, as `[[answer=12]]`. */
const ANSWER_TOKENS_MARK = /\[\[answer=(\d+)\]\]/

/** How many tokens the stand-in answers: as the prompt says, or from the seed; at most `maxTokens`. */
export function answerTokenCount(body: unknown, seed: number, maxTokens: number): number {
  const marked = ANSWER_TOKENS_MARK.exec(JSON.stringify(body))?.[1]
  const requested = marked === undefined ? 8 + (seed % 24) : Number(marked)
  return Math.max(1, Math.min(requested, maxTokens))
}

/** The token at a position: the same for the same seed. */
export function answerToken(seed: number, position: number): string {
  const byte = createHash('sha1').update(`${seed}/${position}`).digest()[0]!
  const word = WORDS[byte % WORDS.length]!
  return position === 0 ? word : ` ${word}`
}

import { createHash } from 'node:crypto'

const WORDS =
  'the meter reads valve flow gate card round check yes no pipe pressure hint unit seal log book tap line'.split(
    ' ',
  )
/** Mark with which a prompt sets the length of its answer in tokens: `[[answer=12]]`. */
const ANSWER_TOKENS_MARK = /\[\[answer=(\d+)\]\]/

/** Returns the number of answer tokens, from the prompt's mark or else the seed; at least 1, at most `maxTokens`. */
export function answerTokenCount(body: unknown, seed: number, maxTokens: number): number {
  const marked = ANSWER_TOKENS_MARK.exec(JSON.stringify(body))?.[1]
  const requested = marked === undefined ? 8 + (seed % 24) : Number(marked)
  return Math.max(1, Math.min(requested, maxTokens))
}

/** Returns the token at a position; the same seed always gives the same token. */
export function answerToken(seed: number, position: number): string {
  const byte = createHash('sha1').update(`${seed}/${position}`).digest()[0]!
  const word = WORDS[byte % WORDS.length]!
  return position === 0 ? word : ` ${word}`
}

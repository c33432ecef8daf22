import { createHash } from 'node:crypto'

/** Characters that count as a token; the engines' tokenizers are not available here. */
export const CHARS_PER_TOKEN = 4
/** The number of tokens in a block of the prefix cache. */
export const BLOCK_TOKENS = 256
const BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
const HASH_CHARS = 16

/** Estimates a prompt's length in tokens. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/** Hashes each whole block of a prompt together with all text before it. */
export function promptBlocks(text: string): string[] {
  const blocks: string[] = []
  let previous = ''
  for (let start = 0; start + BLOCK_CHARS <= text.length; start += BLOCK_CHARS) {
    const hash = createHash('sha1')
      .update(previous)
      .update(text.slice(start, start + BLOCK_CHARS))
    previous = hash.digest('hex').slice(0, HASH_CHARS)
    blocks.push(previous)
  }
  return blocks
}

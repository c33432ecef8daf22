import { createHash } from 'node:crypto'

/** Identifies a part of prompts at one service, so that requests that share it are recognized. Holds none of its text. */
export type PartDigest = string

/** Tells a part from a content, whose digest is hexadecimal. */
const PREFIX = 'part-'
const DIGEST_CHARS = 24

/** Returns the digest of a prompt part by the id under which callers name it. */
export function partDigest(service: string, id: string): PartDigest {
  const hash = createHash('sha256')
    .update(`${Buffer.byteLength(service)}:${service}`)
    .update(id)
  return `${PREFIX}${hash.digest('hex').slice(0, DIGEST_CHARS)}`
}

/** Whether a digest identifies a part of prompts rather than the whole content of requests. */
export function isPart(digest: string): digest is PartDigest {
  return digest.startsWith(PREFIX)
}

import { createHash } from 'node:crypto'

/**
 * Identifies the content of a request, so that a repeat under another request id is recognized. Holds none of its text.
 */
export type ContentDigest = string

/** The parts that make two requests the same. */
export interface RequestContent {
  /** The API key of the caller; absent where the request has none. */
  key?: string
  method: string
  host: string
  /** Includes the query. */
  path: string
  /** In one piece, or in parts of any size. */
  body: Buffer | readonly Buffer[]
}

/** 96 bits: among millions of different requests no two share a digest. */
const DIGEST_CHARS = 24

/**
 * Returns the digest of a request's content. Each part is hashed with its length, so that parts cannot run into each
 * other. The caller's network address is left out: one caller sends from many addresses, and a crash depends on what
 * the endpoint receives.
 */
export function contentDigest({ key = '', method, host, path, body }: RequestContent): ContentDigest {
  const hash = createHash('sha256')
  for (const part of [key, method, host, path]) hash.update(`${Buffer.byteLength(part)}:${part}`)
  for (const part of Buffer.isBuffer(body) ? [body] : body) hash.update(part)
  return hash.digest('hex').slice(0, DIGEST_CHARS)
}

import { createHash } from 'node:crypto'

/** Names what a request asks for, so that it is known again under another request id. Holds nothing of its text. */
export type ContentDigest = string

/** What makes two requests the same. */
export interface RequestContent {
  /** The key that its caller shows; absent where it shows none. */
  key?: string
  method: string
  host: string
  /** With query. */
  path: string
  body: Buffer
}

/** 96 bits: among millions of requests no two that differ are taken for one. */
const DIGEST_CHARS = 24

/**
 * The digest of a request's content. Each part goes in with its length, so that none can run into the next. The address it
 * comes from does not go in: one caller comes from many, and what ends an endpoint is what the endpoint gets.
 */
export function contentDigest({ key = '', method, host, path, body }: RequestContent): ContentDigest {
  const hash = createHash('sha256')
  for (const part of [key, method, host, path]) hash.update(`${Buffer.byteLength(part)}:${part}`)
  return hash.update(body).digest('hex').slice(0, DIGEST_CHARS)
}

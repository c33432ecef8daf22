import { createHash } from 'node:crypto'

/** Names what a request asks for, so that it is known again under another request id. Holds nothing of its text. */
export type ContentDigest = string

/** What makes two requests the same. */
export interface RequestContent {
  /** Who asks: its key, or its address where it shows none. */
  caller: string
  method: string
  host: string
  /** With query. */
  path: string
  body: Buffer
}

/** 96 bits: among millions of requests no two that differ are taken for one. */
const DIGEST_CHARS = 24

/** The digest of a request's content. Each part goes in with its length, so that none can run into the next. */
export function contentDigest({ caller, method, host, path, body }: RequestContent): ContentDigest {
  const hash = createHash('sha256')
  for (const part of [caller, method, host, path]) hash.update(`${Buffer.byteLength(part)}:${part}`)
  return hash.update(body).digest('hex').slice(0, DIGEST_CHARS)
}

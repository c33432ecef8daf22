import type { ServerResponse } from 'node:http'
import type { Millis } from '@forkstage/types'

/** An answer that this entry generates itself. */
export interface OwnAnswer {
  status: number
  code: `FORKSTAGE_${string}`
  message: string
  /** Backoff for a request that has not run and never will. */
  retryAfterMs?: Millis
  /** Whether to close the connection afterwards. */
  close?: boolean
}

/** Sends an answer that this entry generates, unless the caller has got one already. */
export function sendOwnAnswer(response: ServerResponse, answer: OwnAnswer): void {
  if (response.headersSent || response.destroyed) return
  response.end(beginOwnAnswer(response, answer))
}

/** Sets the head of an answer that this entry generates, and returns its body. */
export function beginOwnAnswer(response: ServerResponse, answer: OwnAnswer): Buffer {
  const body = Buffer.from(JSON.stringify({ code: answer.code, message: answer.message }))
  response.statusCode = answer.status
  response.setHeader('Content-Type', 'application/json')
  response.setHeader('Content-Length', body.length)
  if (answer.retryAfterMs !== undefined)
    response.setHeader('Retry-After', (answer.retryAfterMs / 1_000).toFixed(3))
  if (answer.close === true) response.setHeader('Connection', 'close')
  return body
}

/** Forwards an endpoint's complete answer unchanged, unless the caller has got one already. */
export function sendEndpointAnswer(
  response: ServerResponse,
  answer: { status: number; rawHeaders: string[]; parts: Buffer[]; isFramed: boolean },
): void {
  if (response.headersSent || response.destroyed) return
  if (!answer.isFramed) return sendUnframed(response, answer)
  const length = answer.parts.reduce((sum, part) => sum + part.length, 0)
  const headers = [...answer.rawHeaders, 'Content-Length', String(length)]
  response.writeHead(answer.status, headers)
  endWithParts(response, answer.parts)
}

/**
 * Forwards an answer without a length as one that ends with its connection. It is unknown whether the endpoint had sent
 * everything, so a length must not suggest that it had.
 */
function sendUnframed(
  response: ServerResponse,
  answer: { status: number; rawHeaders: string[]; parts: Buffer[] },
): void {
  endWithConnection(response)
  response.writeHead(answer.status, answer.rawHeaders)
  endWithParts(response, answer.parts)
}

/** Ends a response with a body in parts, without a copy of it in one piece. */
function endWithParts(response: ServerResponse, parts: Buffer[]): void {
  parts.slice(0, -1).forEach((part) => response.write(part))
  response.end(parts.at(-1))
}

/** Whether the caller takes an answer in chunks, whose end is a statement of this entry; HTTP/1.0 has none. */
export function takesChunks(response: ServerResponse): boolean {
  return response.useChunkedEncodingByDefault
}

/** Makes a response without a length end with its connection instead of using chunked encoding. */
function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

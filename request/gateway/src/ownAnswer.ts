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
  const body = Buffer.from(JSON.stringify({ code: answer.code, message: answer.message }))
  response.statusCode = answer.status
  response.setHeader('Content-Type', 'application/json')
  response.setHeader('Content-Length', body.length)
  if (answer.retryAfterMs !== undefined)
    response.setHeader('Retry-After', (answer.retryAfterMs / 1_000).toFixed(3))
  if (answer.close === true) response.setHeader('Connection', 'close')
  response.end(body)
}

/** Forwards an endpoint's complete answer unchanged, unless the caller has got one already. */
export function sendEndpointAnswer(
  response: ServerResponse,
  answer: { status: number; rawHeaders: string[]; body: Buffer; isFramed: boolean },
): void {
  if (response.headersSent || response.destroyed) return
  if (!answer.isFramed) return sendUnframed(response, answer)
  const headers = [...answer.rawHeaders, 'Content-Length', String(answer.body.length)]
  response.writeHead(answer.status, headers)
  response.end(answer.body)
}

/**
 * Forwards an answer without a length as one that ends with its connection. It is unknown whether the endpoint had sent
 * everything, so a length must not suggest that it had.
 */
function sendUnframed(
  response: ServerResponse,
  answer: { status: number; rawHeaders: string[]; body: Buffer },
): void {
  endWithConnection(response)
  response.writeHead(answer.status, answer.rawHeaders)
  response.end(answer.body)
}

/** Makes a response without a length end with its connection instead of using chunked encoding. */
export function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

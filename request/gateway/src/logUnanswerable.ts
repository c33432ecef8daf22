import type { IncomingMessage } from 'node:http'
import { firstValue } from './callerRequest'
import type { RelayParts } from './relayParts'

/** Bounds in the log the length of an id that a caller sends. */
const MAX_ID_LOG_CHARS = 64

/** Logs a request that is not served, since its answer could not be sent. */
export function logUnanswerable(
  { wire, logger }: Pick<RelayParts, 'wire' | 'logger'>,
  { headers }: IncomingMessage,
): void {
  const request = firstValue(headers[wire.headers.requestId])?.slice(0, MAX_ID_LOG_CHARS) ?? ''
  logger.warn('request.unanswerable', { request })
}

import type { IncomingMessage } from 'node:http'
import { firstValue } from './callerRequest'
import type { RelayParts } from './relayParts'

/**
 * Logs an answer whose last bytes were never sent, although its result is `answered`: Node emits `finish` for a
 * response also when its connection is destroyed under it.
 */
export function logUnsent(
  { wire, logger }: Pick<RelayParts, 'wire' | 'logger'>,
  { headers, socket }: IncomingMessage,
  by: 'entry' | 'caller',
): void {
  const request = firstValue(headers[wire.headers.requestId]) ?? ''
  logger.warn('answer.unsent', { request, bytes: socket.writableLength, by })
}

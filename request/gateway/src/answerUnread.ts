import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { beginOwnAnswer, type OwnAnswer } from './ownAnswer'

/** How long the rest of a request is read and dropped. */
const LINGER_MS: Millis = 3_000

/** Options of {@link answerUnread}. */
export interface AnswerUnreadOptions {
  clock: Clock
  /** Bytes of the rest that are read and dropped at most. */
  maxBytes: number
}

/**
 * Answers a request whose body has not been read. A connection that is closed with bytes unread is reset, which may take the answer
 * along; so the rest is dropped for a while before the connection is closed, unless the caller closes it first.
 */
export function answerUnread(
  incoming: IncomingMessage,
  response: ServerResponse,
  answer: OwnAnswer,
  { clock, maxBytes }: AnswerUnreadOptions,
): void {
  if (response.headersSent || response.destroyed) return
  response.write(beginOwnAnswer(response, { ...answer, close: true }))
  let dropped = 0
  const end = () => {
    cancelTimer()
    response.end()
  }
  const cancelTimer = clock.after(LINGER_MS, end)
  incoming.on('data', (chunk: Buffer) => {
    dropped += chunk.length
    if (dropped > maxBytes) end()
  })
  incoming.once('end', end)
  // The caller has closed the connection, after the whole answer or before it.
  incoming.once('close', cancelTimer)
  incoming.resume()
}

import type { CancelTimer } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { ENDED_INSIDE_EVENT, endsInsideEvent } from './endsInsideEvent'
import { EventSplitter } from './eventSplitter'
import {
  openExchange,
  type AnswerHead,
  type BrokenExchange,
  type Exchange,
  type ExchangeOptions,
} from './exchange'

/** A complete answer, or why there is none. `isTimedOut`: no complete answer arrived within `timeoutMs`. */
export type FetchOutcome =
  | { type: 'answer'; head: AnswerHead; body: Buffer }
  | ({ type: 'failed'; isTimedOut?: boolean } & BrokenExchange)

/** Options of {@link fetchAnswer}. */
export interface FetchOptions extends Omit<ExchangeOptions, 'onHead' | 'onData' | 'onEnd'> {
  maxBytes: number
  /** Limit for the whole exchange; none if absent. */
  timeoutMs?: Millis
  /** Called with the exchange once it is open, so that it can be cancelled. */
  onOpen?: (exchange: Exchange) => void
}

const EVENT_STREAM = 'text/event-stream'

/** Sends one request and buffers its whole answer. Never rejects. */
export function fetchAnswer(options: FetchOptions): Promise<FetchOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let cancelTimeout: CancelTimer = () => undefined
    let size = 0
    let head: AnswerHead | undefined
    let isTimedOut = false
    const exchange = openExchange({
      ...options,
      onHead: (received) => (head = received),
      onData: (chunk) => {
        chunks.push(chunk)
        size += chunk.length
        if (size > options.maxBytes) exchange.cancel('the answer is too long')
      },
      onEnd: (end) => {
        cancelTimeout()
        const body = Buffer.concat(chunks)
        if (end.complete && head !== undefined && isBrokenOff(head, body))
          return resolve({ type: 'failed', sent: true, refused: false, reason: ENDED_INSIDE_EVENT })
        if (end.complete && head !== undefined) return resolve({ type: 'answer', head, body })
        if (end.complete)
          return resolve({ type: 'failed', sent: true, refused: false, reason: 'the answer has no head' })
        resolve({ ...end, type: 'failed', isTimedOut })
      },
    })
    options.onOpen?.(exchange)
    if (options.timeoutMs === undefined) return
    cancelTimeout = options.clock.after(options.timeoutMs, () => {
      isTimedOut = true
      exchange.cancel('no whole answer in time')
    })
  })
}

function isBrokenOff(head: AnswerHead, body: Buffer): boolean {
  if (!String(head.headers['content-type']).startsWith(EVENT_STREAM)) return false
  const splitter = new EventSplitter()
  splitter.push(body)
  return endsInsideEvent(head, splitter)
}

import type { CancelTimer } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { openExchange, type AnswerHead, type Exchange, type ExchangeOptions } from './exchange'

/** A whole answer, or why there is none. */
export type WholeOutcome =
  | { type: 'answer'; head: AnswerHead; body: Buffer }
  /** `sent`: the endpoint may have run the request. `isGivenUp`: it did not answer in the time it was given. */
  | { type: 'failed'; sent: boolean; refused: boolean; reason: string; isGivenUp?: boolean }

/** Options of {@link exchangeWhole}. */
export interface WholeOptions extends Omit<ExchangeOptions, 'onHead' | 'onData' | 'onEnd'> {
  maxBytes: number
  /** After how long it is given up, in milliseconds; never where left out. */
  withinMs?: Millis
  /** Receives the exchange, so that it can be cancelled. */
  onOpen?: (exchange: Exchange) => void
}

/** Sends one request and gathers its answer. Never rejects. */
export function exchangeWhole(options: WholeOptions): Promise<WholeOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let cancelLimit: CancelTimer = () => undefined
    let size = 0
    let head: AnswerHead | undefined
    let isGivenUp = false
    const exchange = openExchange({
      ...options,
      onHead: (received) => (head = received),
      onData: (chunk) => {
        chunks.push(chunk)
        size += chunk.length
        if (size > options.maxBytes) exchange.cancel('the answer is too long')
      },
      onEnd: (end) => {
        cancelLimit()
        if (end.complete && head !== undefined)
          return resolve({ type: 'answer', head, body: Buffer.concat(chunks) })
        if (end.complete) return resolve({ type: 'failed', sent: true, refused: false, reason: 'no head' })
        resolve({ type: 'failed', sent: end.sent, refused: end.refused, reason: end.reason, isGivenUp })
      },
    })
    options.onOpen?.(exchange)
    if (options.withinMs === undefined) return
    cancelLimit = options.clock.after(options.withinMs, () => {
      isGivenUp = true
      exchange.cancel('no whole answer in time')
    })
  })
}

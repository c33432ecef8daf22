import { ByteCollector } from '@forkstage/bytes'
import type { CancelTimer } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { HeldAnswer } from './answerMemory'
import { ENDED_INSIDE_EVENT, endsInsideEvent } from './endsInsideEvent'
import { EventSplitter } from './eventSplitter'
import {
  openExchange,
  type AnswerHead,
  type BrokenExchange,
  type Exchange,
  type ExchangeOptions,
} from './exchange'

/** A complete answer. */
export interface FetchedAnswer {
  type: 'answer'
  head: AnswerHead
  /** A copy of the body in one piece. */
  readonly body: Buffer
}

/** A complete answer, or why there is none. `isTimedOut`: no complete answer arrived within `timeoutMs`. */
export type FetchOutcome =
  | (FetchedAnswer & {
      /** The body; its parts are not those in which it arrived. */
      parts: Buffer[]
    })
  | ({ type: 'failed'; isTimedOut?: boolean } & BrokenExchange)

/** Options of {@link fetchAnswer}. */
export interface FetchOptions extends Omit<ExchangeOptions, 'onHead' | 'onData' | 'onEnd'> {
  maxBytes: number
  /** Returns where the bytes of the answer are counted; they are not if absent. */
  held?: (exchange: Exchange) => HeldAnswer
  /** Limit for the whole exchange; none if absent. */
  timeoutMs?: Millis
  /** Called with the exchange once it is open, so that it can be cancelled. */
  onOpen?: (exchange: Exchange) => void
}

const TOO_LONG = 'the answer is too long'
const EVENT_STREAM = 'text/event-stream'

/** Sends one request and buffers its whole answer. Never rejects. */
export function fetchAnswer(options: FetchOptions): Promise<FetchOutcome> {
  return new Promise((resolve) => {
    let body = new ByteCollector()
    let cancelTimeout: CancelTimer = () => undefined
    let head: AnswerHead | undefined
    let isTimedOut = false
    const exchange = openExchange({
      ...options,
      onHead: (received) => {
        head = received
        if (Number(received.headers['content-length']) > options.maxBytes) exchange.cancel(TOO_LONG)
      },
      onData: (chunk) => {
        body.append(chunk)
        if (body.size > options.maxBytes) return exchange.cancel(TOO_LONG)
        held?.hold(body.size)
      },
      onEnd: (end) => {
        cancelTimeout()
        held?.complete()
        if (!end.complete) body = new ByteCollector()
        if (end.complete && head !== undefined && isBrokenOff(head, body.parts))
          return resolve({ type: 'failed', sent: true, refused: false, reason: ENDED_INSIDE_EVENT })
        if (end.complete && head !== undefined) return resolve(wholeAnswer(head, body.parts))
        if (end.complete)
          return resolve({ type: 'failed', sent: true, refused: false, reason: 'the answer has no head' })
        resolve({ ...end, type: 'failed', isTimedOut })
      },
    })
    const held = options.held?.(exchange)
    options.onOpen?.(exchange)
    if (options.timeoutMs === undefined) return
    cancelTimeout = options.clock.after(options.timeoutMs, () => {
      isTimedOut = true
      exchange.cancel('no whole answer in time')
    })
  })
}

function wholeAnswer(head: AnswerHead, parts: Buffer[]): FetchOutcome {
  return {
    type: 'answer',
    head,
    parts,
    get body() {
      return Buffer.concat(parts)
    },
  }
}

function isBrokenOff(head: AnswerHead, parts: Buffer[]): boolean {
  if (!String(head.headers['content-type']).startsWith(EVENT_STREAM)) return false
  const splitter = new EventSplitter()
  parts.forEach((part) => splitter.push(part))
  return endsInsideEvent(head, splitter)
}

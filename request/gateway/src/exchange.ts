import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { connectDirectly, type Dial, type DialResult } from '@forkstage/paths'
import { endedWithFin } from '@forkstage/tunnel'
import type { Address, Millis } from '@forkstage/types'
import type { HeldBody } from './heldBody'
import { isForwardable } from './isForwardable'
import { PieceLimit } from './pieceLimit'

/** How long an endpoint that has answered may take to read the rest of the body. */
const READ_ON_MS: Millis = 2_000
/** Interim answers (1xx) before an answer that are accepted. */
const MAX_INTERIM_ANSWERS = 32

/** The status line and headers of an endpoint's answer. */
export interface AnswerHead {
  status: number
  /** Alternating names and values, as received. */
  rawHeaders: string[]
  /** Values by lower-case name. */
  headers: Record<string, string | string[] | undefined>
  /** Whether the answer has a length or is chunked; otherwise it ends with its connection. */
  isFramed: boolean
}

/** An exchange without a complete answer. */
export interface BrokenExchange {
  /** Whether a byte may have reached the endpoint, so that it may have run the request. */
  sent: boolean
  /** Whether the connection was refused; otherwise the endpoint may be slow, or packets were lost. */
  refused: boolean
  /** Whether this box reached no endpoint, which says nothing about this one. */
  hasNoPath?: boolean
  /** The box that carried the exchange; absent if it was direct. */
  via?: Address
  /** Whether {@link Exchange.cancel} ended it. */
  isCancelled?: boolean
  /** Whether {@link ExchangeOptions.whyNoLongerSend} withheld the request. */
  isWithheld?: boolean
  reason: string
}

/** How an exchange ended. */
export type ExchangeEnd = { complete: true } | ({ complete: false } & BrokenExchange)

/** One request to one endpoint. */
export interface ExchangeOptions {
  address: Address
  method: string
  path: string
  /** Alternating names and values. */
  rawHeaders: string[]
  body: Buffer | HeldBody
  /** Called once the last byte of a held body has left this process. */
  onSent?: () => void
  /** Connect timeout. */
  connectMs: Millis
  /** Opens the connection; directly to the endpoint if absent. */
  dial?: (address: Address, timeoutMs: Millis) => Dial
  /** Returns why the request must not be sent any more; checked once the connection is open, right before the first byte. */
  whyNoLongerSend?: () => string | undefined
  clock: Clock
  onHead: (head: AnswerHead) => void
  onData: (chunk: Buffer) => void
  /** Called exactly once, last. */
  onEnd: (end: ExchangeEnd) => void
}

/** Why an exchange is paused: its caller reads slowly, or this box holds too much of other answers. */
export type PauseReason = 'caller' | 'memory'

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection, so that the endpoint stops, and ends the exchange as incomplete. */
  cancel(reason: string): void
  /** Reads no more until each reason for a pause has been resumed. */
  pause(reason: PauseReason): void
  resume(reason: PauseReason): void
  /**
   * Returns how long the endpoint has sent nothing: Infinity before its answer begins, 0 while the exchange is paused,
   * since nothing is read then.
   */
  silentMs(): Millis
  /** Whether no other box carries it. */
  isDirect(): boolean
}

/**
 * Sends one request over a new connection. Without reuse, no bytes of an earlier answer can arrive on it, the endpoint cannot
 * have closed it while idle, and bytes after the answer can be ignored.
 */
export function openExchange(options: ExchangeOptions): Exchange {
  const { address, method, path, rawHeaders, body, connectMs, clock } = options
  const colon = address.lastIndexOf(':')
  const dial = options.dial?.(address, connectMs) ?? connectDirectly(address, connectMs, clock)
  let answer: IncomingMessage | undefined
  let sent = false
  let via: Address | undefined
  let ended = false
  const pauses = new Set<PauseReason>()
  let interimAnswers = 0
  let lastReceivedAt = -Infinity
  let isBodySent = false
  const end = (result: ExchangeEnd) => {
    if (ended) return
    ended = true
    options.onEnd(result)
    // What the endpoint does not read takes memory.
    if (result.complete && !isBodySent)
      request.once(
        'close',
        clock.after(READ_ON_MS, () => request.destroy()),
      )
  }
  const fail = (reason: string, isCancelled = false) => {
    end({ complete: false, sent, refused: false, via, isCancelled, reason })
    if (!sent) dial.cancel()
    request.destroy()
  }
  const failUnsent = ({ type, reason }: Exclude<DialResult, { type: 'connected' }>) => {
    end({ complete: false, sent, refused: type === 'refused', hasNoPath: type === 'no-path', reason })
    request.destroy()
  }
  const withhold = (reason: string, socket: Duplex) => {
    socket.destroy()
    end({ complete: false, sent, refused: false, isWithheld: true, reason })
    request.destroy()
  }
  const request: ClientRequest = httpRequest({
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    method,
    path,
    createConnection: (_target, onConnected) => {
      const handleResult = (result: DialResult) => {
        if (result.type !== 'connected') return failUnsent(result)
        if (ended) return void result.socket.destroy()
        const withheld = options.whyNoLongerSend?.()
        if (withheld !== undefined) return withhold(withheld, result.socket)
        sent = true
        via = result.via
        onConnected(null, result.socket)
      }
      void dial.result.then(handleResult, (error: unknown) =>
        failUnsent({ type: 'silent', reason: toErrorBody(error).message }),
      )
      return undefined
    },
    setHost: false,
    headers: rawHeaders,
  })
  request.on('error', (error) => fail(error.message))
  request.on('information', () => {
    interimAnswers += 1
    if (interimAnswers > MAX_INTERIM_ANSWERS) fail('too many interim answers')
  })
  request.on('response', (incoming) => {
    answer = incoming
    lastReceivedAt = clock.now()
    incoming.on('data', () => (lastReceivedAt = clock.now()))
    const isEndStated = via !== undefined
    readAnswer(incoming, options, { end, fail: (reason) => fail(reason), isOver: () => ended, isEndStated })
  })
  request.on('close', () => {
    if (answer === undefined) fail('closed without an answer')
  })
  // Not before there is a connection: what a message keeps for later is never called back if it ends before.
  const onSent = () => {
    isBodySent = true
    options.onSent?.()
  }
  if (Buffer.isBuffer(body)) request.end(body, onSent)
  else request.once('socket', () => body.endWith(request, onSent))
  return {
    cancel: (reason) => fail(reason, true),
    pause: (reason) => {
      pauses.add(reason)
      answer?.pause()
    },
    resume: (reason) => {
      pauses.delete(reason)
      if (pauses.size > 0) return
      lastReceivedAt = clock.now()
      answer?.resume()
    },
    isDirect: () => via === undefined,
    silentMs: () => (pauses.size > 0 ? 0 : clock.now() - lastReceivedAt),
  }
}

interface AnswerCallbacks {
  end: (result: ExchangeEnd) => void
  fail: (reason: string) => void
  isOver: () => boolean
  /** Whether the connection ends only if the endpoint has ended it. */
  isEndStated: boolean
}

function readAnswer(incoming: IncomingMessage, options: ExchangeOptions, reader: AnswerCallbacks): void {
  incoming.on('error', (error) => reader.fail(error.message))
  incoming.on('aborted', () => reader.fail('the answer broke off'))
  const pieces = new PieceLimit(options.clock)
  incoming.on('data', (chunk: Buffer) => {
    if (reader.isOver()) return
    if (pieces.record(chunk.length)) reader.fail('the answer arrives in too many small pieces')
    else options.onData(chunk)
  })
  const isFramed =
    incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined
  const isWhole = isFramed || reader.isEndStated ? Promise.resolve(true) : endedWithFin(incoming.socket)
  incoming.on('end', () => {
    if (!incoming.complete) return reader.fail('the answer broke off')
    if (isFramed) return reader.end({ complete: true })
    void isWhole.then((whole) =>
      whole ? reader.end({ complete: true }) : reader.fail('the answer was reset'),
    )
  })
  incoming.on('close', () => {
    if (!incoming.readableEnded) reader.fail('the answer broke off')
  })
  if (!isForwardable(incoming.statusCode, incoming.rawHeaders))
    reader.fail('a status or header that cannot be forwarded')
  if (reader.isOver()) return
  options.onHead({
    status: incoming.statusCode ?? 0,
    rawHeaders: incoming.rawHeaders,
    headers: incoming.headers,
    isFramed,
  })
}

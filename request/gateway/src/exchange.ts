import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

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

/** How an exchange ended. */
export type ExchangeEnd =
  | { complete: true }
  /**
   * `sent`: a byte may have reached the endpoint, so it may have run the request.
   * `refused`: the connection was refused; otherwise the endpoint may be slow, or packets were lost.
   */
  | { complete: false; sent: boolean; refused: boolean; reason: string }

/** One request to one endpoint. */
export interface ExchangeOptions {
  address: Address
  method: string
  path: string
  /** Alternating names and values. */
  rawHeaders: string[]
  body: Buffer
  /** Connect timeout. */
  connectMs: Millis
  clock: Clock
  onHead: (head: AnswerHead) => void
  onData: (chunk: Buffer) => void
  /** Called exactly once, last. */
  onEnd: (end: ExchangeEnd) => void
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection, so that the endpoint stops, and ends the exchange as incomplete. */
  cancel(reason: string): void
  pause(): void
  resume(): void
  /**
   * Returns how long the endpoint has sent nothing: Infinity before its answer begins, 0 while the exchange is paused,
   * since nothing is read then.
   */
  silentMs(): Millis
}

const REFUSED = 'ECONNREFUSED'

/**
 * Sends one request over a new connection. Without reuse, no bytes of an earlier answer can arrive on it, the endpoint cannot
 * have closed it while idle, and bytes after the answer can be ignored.
 */
export function openExchange(options: ExchangeOptions): Exchange {
  const { address, method, path, rawHeaders, body, clock } = options
  const colon = address.lastIndexOf(':')
  let answer: IncomingMessage | undefined
  let sent = false
  let ended = false
  let isPaused = false
  let lastReceivedAt = -Infinity
  const end = (result: ExchangeEnd) => {
    if (ended) return
    ended = true
    cancelConnect()
    options.onEnd(result)
  }
  const fail = (reason: string, code?: string) => {
    end({ complete: false, sent, refused: !sent && code === REFUSED, reason })
    request.destroy()
  }
  const request: ClientRequest = httpRequest({
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    method,
    path,
    // Keeps our side open after the endpoint has closed its side, see endedWithFin.
    createConnection: (target) =>
      connect({ host: target.host!, port: Number(target.port), allowHalfOpen: true, noDelay: true }),
    setHost: false,
    headers: rawHeaders,
  })
  const cancelConnect = clock.after(options.connectMs, () => {
    if (!sent) fail('no connection in time')
  })
  request.on('socket', (socket) => {
    socket.once('connect', () => (sent = true))
  })
  request.on('error', (error) => fail(error.message, (error as NodeJS.ErrnoException).code))
  request.on('response', (incoming) => {
    answer = incoming
    lastReceivedAt = clock.now()
    incoming.on('data', () => (lastReceivedAt = clock.now()))
    readAnswer(incoming, options, { end, fail, isOver: () => ended })
  })
  request.on('close', () => {
    if (answer === undefined) fail('closed without an answer')
  })
  request.end(body)
  return {
    cancel: (reason) => fail(reason),
    pause: () => {
      isPaused = true
      answer?.pause()
    },
    resume: () => {
      isPaused = false
      lastReceivedAt = clock.now()
      answer?.resume()
    },
    silentMs: () => (isPaused ? 0 : clock.now() - lastReceivedAt),
  }
}

interface AnswerCallbacks {
  end: (result: ExchangeEnd) => void
  fail: (reason: string) => void
  isOver: () => boolean
}

function readAnswer(incoming: IncomingMessage, options: ExchangeOptions, reader: AnswerCallbacks): void {
  incoming.on('error', (error) => reader.fail(error.message))
  incoming.on('aborted', () => reader.fail('the answer broke off'))
  incoming.on('data', (chunk: Buffer) => {
    if (!reader.isOver()) options.onData(chunk)
  })
  const isFramed =
    incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined
  const isWhole = isFramed ? Promise.resolve(true) : endedWithFin(incoming.socket)
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
  if (reader.isOver()) return
  options.onHead({
    status: incoming.statusCode ?? 0,
    rawHeaders: incoming.rawHeaders,
    headers: incoming.headers,
    isFramed,
  })
}

/** HTTP allows an empty line before a request; the endpoint has closed its side and ignores it. */
const EMPTY_LINE = '\r\n'

/**
 * Resolves to whether an answer without a length ended because its endpoint closed the connection in order. A reset right
 * after the last bytes is reported as an ordinary end; a write then tells them apart, since it fails after a reset.
 */
function endedWithFin(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.prependListener('end', () =>
      socket.write(EMPTY_LINE, (error) => resolve(error === null || error === undefined)),
    )
    socket.on('close', () => resolve(false))
  })
}

import type { Server, ServerResponse } from 'node:http'
import { Server as NetServer, Socket } from 'node:net'
import { createSystemClock, delay, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { lingeringClose } from './lingeringClose'
import { narrowQueue } from './narrowQueue'
import { nextTurn } from './nextTurn'

/** Options of {@link PendingResponses}. */
export interface PendingResponsesOptions {
  /** Default: the clock of the system. */
  clock?: Clock
}

/** Options of {@link PendingResponses.close}. */
export interface CloseOptions {
  /** Until when connections are accepted from the queue of the listener, by the clock; default: for half a second. */
  acceptUntil?: Millis
}

/** What became of the connections of callers since the server began to close. */
export interface ClosedConnections {
  /** Connections that this process ended because they carried no request. */
  quiet: number
  /** Connections that it closed at once, whatever they carried. */
  forced: number
  /** Of both, those that had brought bytes of a request that was not answered in full. */
  unanswered: number
}

/** One connection of a caller. */
interface Connection {
  /** Responses that are not yet sent completely, in the order of their requests. */
  pending: ServerResponse[]
  /** Bytes received when the last response was completed. */
  answeredBytes: number
  /** Bytes received at the last look. */
  seenBytes: number
  /** When the connection was accepted, completed a response, or was last seen to have brought bytes. */
  activeAt: Millis
}

/** The request of a caller that uses a connection arrives within this time. */
const QUIET_MS: Millis = 250
const LOOK_EVERY_MS: Millis = 25
const DEFAULT_QUEUE_MS: Millis = 500
/** Time for a queue that callers fill again as fast as it is emptied. */
const LAST_QUEUE_MS: Millis = 250
/** Connections that linger at once; each holds what its caller sends until that is discarded. */
const MAX_LINGERING = 64

/**
 * Tracks the responses of a server until their last bytes have left this process. The server itself considers a
 * connection idle as soon as its response was ended, and would close it with data that a slow caller has not yet read.
 */
export class PendingResponses {
  private readonly connections = new Map<Socket, Connection>()
  private total = 0
  private acceptedCount = 0
  private lingering = 0
  private readonly clock: Clock
  private closing: Promise<void> | undefined
  private isForced = false
  private readonly unsendable = new WeakSet<ServerResponse>()
  private readonly counts: ClosedConnections = { quiet: 0, forced: 0, unanswered: 0 }

  constructor(
    private readonly server: Server,
    { clock = createSystemClock() }: PendingResponsesOptions = {},
  ) {
    this.clock = clock
    server.on('connection', (socket) => this.add(socket))
    server.on('request', (_request, response) => this.track(response))
  }

  /** Number of requests whose responses are not yet sent completely. */
  get count(): number {
    return this.total
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size
  }

  /** Number of bytes that wait in this process until their callers, or this machine's link, take them. */
  get unsentBytes(): number {
    let sum = 0
    for (const socket of this.connections.keys()) sum += socket.writableLength
    return sum
  }

  /** What became of the connections since {@link close}. */
  get closed(): Readonly<ClosedConnections> {
    return this.counts
  }

  /** Returns the response in progress on a connection; the last one of several. */
  currentOn(socket: Socket): ServerResponse | undefined {
    return this.connections.get(socket)?.pending.at(-1)
  }

  /** Whether earlier responses on its connection have to be sent before a response. */
  isBehindAnother(response: ServerResponse): boolean {
    const first = this.connections.get(response.req.socket)?.pending[0]
    return first !== undefined && first !== response
  }

  /**
   * Whether a response can never be sent: the answer to an earlier request on its connection has already announced that
   * it closes it.
   */
  isUnsendable(response: ServerResponse): boolean {
    return this.unsendable.has(response)
  }

  /** Has a response announce that its connection will be closed, unless a later request on the connection waits for its own. */
  announceCloseBy(response: ServerResponse): void {
    if (response.headersSent || this.currentOn(response.req.socket) !== response) return
    response.setHeader('Connection', 'close')
  }

  /** Has every response whose head has not been sent yet announce that its connection will be closed. */
  announceClose(): void {
    for (const { pending } of this.connections.values())
      pending.slice(-1).forEach((last) => this.announceCloseBy(last))
  }

  /**
   * Accepts what waits in the queue of the listener, lets nothing more in if that takes too long, stops listening, and ends
   * each connection once it is quiet: with all responses sent and no byte for {@link QUIET_MS}. Resolves when no connection
   * is left.
   */
  close({ acceptUntil = this.clock.now() + DEFAULT_QUEUE_MS }: CloseOptions = {}): Promise<void> {
    this.closing ??= this.closeInOrder(acceptUntil)
    return this.closing
  }

  /** Stops listening and closes every connection, after a last look at what has arrived. */
  async closeAll(): Promise<void> {
    this.isForced = true
    await nextTurn()
    // The close method of an HTTP server would cut off responses that are not yet sent completely, see above.
    NetServer.prototype.close.call(this.server)
    for (const [socket, connection] of this.connections) {
      this.recordClosed('forced', socket, connection)
      const last = connection.pending.at(-1)
      if (last !== undefined && endsWithConnection(last)) socket.resetAndDestroy()
      else socket.destroy()
    }
  }

  private async closeInOrder(acceptUntil: Millis): Promise<void> {
    if (!(await this.emptyQueue(acceptUntil))) {
      narrowQueue(this.server)
      await this.emptyQueue(this.clock.now() + LAST_QUEUE_MS)
    }
    NetServer.prototype.close.call(this.server)
    for (;;) {
      await nextTurn()
      this.endQuiet()
      await nextTurn()
      if (this.connections.size === 0 || this.isForced) return
      await delay(this.clock, LOOK_EVERY_MS)
    }
  }

  /**
   * Accepts connections until none waits; each turn of the event loop accepts at least one of them. Returns false if the
   * time was over before.
   */
  private async emptyQueue(acceptUntil: Millis): Promise<boolean> {
    for (;;) {
      const before = this.acceptedCount
      await nextTurn()
      if (this.acceptedCount === before) return true
      if (this.clock.now() >= acceptUntil) return false
    }
  }

  /** Ends quiet connections. Call it right after the event loop has read from all of them. */
  private endQuiet(): void {
    const now = this.clock.now()
    for (const [socket, connection] of this.connections) {
      if (socket.bytesRead !== connection.seenBytes) {
        connection.seenBytes = socket.bytesRead
        connection.activeAt = now
      }
      // A connection that lingers ends by itself.
      if (connection.pending.length > 0 || socket.writableEnded || now - connection.activeAt < QUIET_MS)
        continue
      this.recordClosed('quiet', socket, connection)
      socket.destroy()
    }
  }

  private recordClosed(how: 'quiet' | 'forced', socket: Socket, connection: Connection): void {
    if (socket.destroyed) return
    this.counts[how] += 1
    if (socket.bytesRead > connection.answeredBytes) this.counts.unanswered += 1
  }

  private add(socket: Socket): void {
    this.acceptedCount += 1
    const connection = { pending: [], answeredBytes: 0, seenBytes: 0, activeAt: this.clock.now() }
    this.connections.set(socket, connection)
    socket.on('close', () => this.connections.delete(socket))
    // The server calls this after the last response on a connection.
    socket.destroySoon = () => this.endAfterResponse(socket)
  }

  private endAfterResponse(socket: Socket): void {
    const isReadInFull = this.currentOn(socket)?.req.complete !== false
    if (isReadInFull || this.lingering >= MAX_LINGERING) return Socket.prototype.destroySoon.call(socket)
    this.lingering += 1
    socket.once('close', () => (this.lingering -= 1))
    lingeringClose(socket, { clock: this.clock })
  }

  private track(response: ServerResponse): void {
    const { socket } = response.req
    const connection = this.connections.get(socket)
    // The connection was closed before its request was read.
    if (connection === undefined) return
    this.moveCloseTo(response, connection.pending.at(-1))
    connection.pending.push(response)
    this.total += 1
    let isDone = false
    const markDone = () => {
      if (isDone) return
      isDone = true
      socket.off('close', markDone)
      // An idle connection must not keep its last request in memory.
      connection.pending = connection.pending.filter((other) => other !== response)
      this.total -= 1
      connection.activeAt = this.clock.now()
      if (response.writableFinished) connection.answeredBytes = socket.bytesRead
      connection.seenBytes = socket.bytesRead
    }
    response.on('finish', markDone)
    response.on('close', markDone)
    socket.on('close', markDone)
  }

  /** Has the last response on a connection announce its close instead of the one before, which would end it too early. */
  private moveCloseTo(response: ServerResponse, earlier: ServerResponse | undefined): void {
    if (earlier?.getHeader('Connection') !== 'close') return
    if (earlier.headersSent) return void this.unsendable.add(response)
    earlier.removeHeader('Connection')
    response.setHeader('Connection', 'close')
  }
}

/** Whether a caller would take the response for complete if its connection were closed now. */
function endsWithConnection(response: ServerResponse): boolean {
  return response.headersSent && !response.writableFinished && !response.useChunkedEncodingByDefault
}

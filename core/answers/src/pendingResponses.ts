import type { Server, ServerResponse } from 'node:http'
import { Server as NetServer, Socket } from 'node:net'
import { createSystemClock, type Clock } from '@forkstage/clock'
import { lingeringClose } from './lingeringClose'

/** Options of {@link PendingResponses}. */
export interface PendingResponsesOptions {
  /** Default: the clock of the system. */
  clock?: Clock
}

/** One connection of a caller. */
interface Connection {
  /** Number of requests whose responses are not yet sent completely. */
  pending: number
  /** Bytes received when the last response was completed; absent before the first one. */
  idleAtBytes?: number
  /** The response in progress; the last one of several. */
  current?: ServerResponse
}

/**
 * Tracks the responses of a server until their last bytes have left this process. The server itself considers a
 * connection idle as soon as its response was ended, and would close it with data that a slow caller has not yet read.
 */
export class PendingResponses {
  private readonly connections = new Map<Socket, Connection>()
  private total = 0
  private readonly clock: Clock

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

  /** Returns the number of such requests on a connection. */
  countOn(socket: Socket): number {
    return this.connections.get(socket)?.pending ?? 0
  }

  /** Returns the response in progress on a connection; the last one of several. */
  currentOn(socket: Socket): ServerResponse | undefined {
    return this.connections.get(socket)?.current
  }

  /** Stops listening and closes connections that are idle between two requests. */
  close(): void {
    // The close method of an HTTP server would cut off responses that are not yet sent completely, see above.
    NetServer.prototype.close.call(this.server)
    for (const [socket, connection] of this.connections) if (isIdle(socket, connection)) socket.destroy()
  }

  /** Stops listening and closes every connection at once. */
  closeAll(): void {
    NetServer.prototype.close.call(this.server)
    for (const [socket, { current }] of this.connections) {
      if (current !== undefined && endsWithConnection(current)) socket.resetAndDestroy()
      else socket.destroy()
    }
  }

  private add(socket: Socket): void {
    this.connections.set(socket, { pending: 0 })
    socket.on('close', () => this.forget(socket))
    // The server calls this after the last response on a connection.
    socket.destroySoon = () => this.endAfterResponse(socket)
  }

  private endAfterResponse(socket: Socket): void {
    const isReadInFull = this.connections.get(socket)?.current?.req.complete !== false
    if (isReadInFull) Socket.prototype.destroySoon.call(socket)
    else lingeringClose(socket, { clock: this.clock })
  }

  private track(response: ServerResponse): void {
    const { socket } = response.req
    const connection = this.connections.get(socket)
    // The connection was closed before its request was read.
    if (connection === undefined) return
    connection.pending += 1
    connection.current = response
    this.total += 1
    let isDone = false
    const markDone = () => {
      if (isDone) return
      isDone = true
      socket.off('close', markDone)
      // An idle connection must not keep its last request in memory.
      if (connection.current === response) connection.current = undefined
      this.total -= 1
      connection.pending -= 1
      connection.idleAtBytes = socket.bytesRead
    }
    response.on('finish', markDone)
    response.on('close', markDone)
    socket.on('close', markDone)
  }

  private forget(socket: Socket): void {
    this.connections.delete(socket)
  }
}

/** Whether a caller would take the response for complete if its connection were closed now. */
function endsWithConnection(response: ServerResponse): boolean {
  return response.headersSent && !response.writableFinished && !response.useChunkedEncodingByDefault
}

/** Returns whether a connection has sent all its responses, at least one, and received no byte of another request. */
function isIdle(socket: Socket, { pending, idleAtBytes }: Connection): boolean {
  return pending === 0 && idleAtBytes === socket.bytesRead
}

import type { Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'

/** One connection of a caller. */
interface Connection {
  /** Its requests whose answers have not left. */
  pending: number
  /** What it had brought when its last answer left; absent until it has carried one. */
  idleAtBytes?: number
}

/**
 * Follows the answers of a server until their last bytes have left this process. The server's own view ends earlier: it
 * counts a connection as idle once its answer was ended, and closes it with what a slow caller has not taken yet.
 */
export class PendingResponses {
  private readonly connections = new Map<Socket, Connection>()
  private total = 0

  constructor(private readonly server: Server) {
    server.on('connection', (socket) => {
      this.connections.set(socket, { pending: 0 })
      socket.on('close', () => this.forget(socket))
    })
    server.on('request', (_request, response) => this.track(response))
  }

  /** Requests whose answers have not left. */
  get count(): number {
    return this.total
  }

  /** How many of them a connection carries. */
  countOn(socket: Socket): number {
    return this.connections.get(socket)?.pending ?? 0
  }

  /** Stops listening and closes connections that rest between two requests. */
  close(): void {
    // What an HTTP server does when it closes would end answers that have not left, see above.
    NetServer.prototype.close.call(this.server)
    for (const [socket, connection] of this.connections) if (isIdle(socket, connection)) socket.destroy()
  }

  /** Closes every connection at once. */
  closeAll(): void {
    NetServer.prototype.close.call(this.server)
    for (const socket of this.connections.keys()) socket.destroy()
  }

  private track(response: ServerResponse): void {
    const { socket } = response.req
    const connection = this.connections.get(socket)
    // A connection that was closed before its request was read carries no answer.
    if (connection === undefined) return
    connection.pending += 1
    this.total += 1
    let isDone = false
    const markDone = () => {
      if (isDone) return
      isDone = true
      socket.off('close', markDone)
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

/** Whether it has carried answers that have all left, and no byte of another request has come. */
function isIdle(socket: Socket, { pending, idleAtBytes }: Connection): boolean {
  return pending === 0 && idleAtBytes === socket.bytesRead
}

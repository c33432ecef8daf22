import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { PacedConnection, SLICE_BYTES } from './pacedConnection'
import { ReadTurns } from './readTurns'

/**
 * Bounds the processor time and the requests in progress of each connection, so that none holds up the others by many small
 * pieces. Call it before other listeners for connections and requests are added.
 */
export function paceReading(server: Server): void {
  const connections = new WeakMap<Socket, PacedConnection>()
  const turns = new ReadTurns()
  const scratch = Buffer.allocUnsafeSlow(SLICE_BYTES)
  server.on('connection', (socket: Socket) => {
    connections.set(socket, new PacedConnection(socket, turns, scratch))
  })
  server.prependListener('request', (incoming: IncomingMessage, response: ServerResponse) => {
    connections.get(incoming.socket)?.begin(incoming, response)
  })
}

import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Resets new connections of a server that `isAdmitted` rejects, before a byte of them is read. Call it before other listeners
 * for connections are added.
 */
export function filterConnections(server: Server, isAdmitted: (socket: Socket) => boolean): void {
  const listeners = server.listeners('connection') as ((socket: Socket) => void)[]
  server.removeAllListeners('connection')
  server.on('connection', (socket: Socket) => {
    if (!isAdmitted(socket)) return void socket.resetAndDestroy()
    for (const listener of listeners) listener.call(server, socket)
  })
}

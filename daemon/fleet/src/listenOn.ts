import { createServer, type RequestListener, type Server } from 'node:http'

/** A listener that can be closed with all its connections. */
export interface Listener {
  server: Server
  close(): void
}

/** Listens at `ip:port` and returns once it does. */
export function listenOn(handler: RequestListener | Server, address: string): Promise<Listener> {
  const server = typeof handler === 'function' ? createServer(handler) : handler
  const colon = address.lastIndexOf(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => {
      resolve({
        server,
        close: () => {
          server.close()
          server.closeAllConnections()
        },
      })
    })
  })
}

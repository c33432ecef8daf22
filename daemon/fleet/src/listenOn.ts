import { createServer, type RequestListener, type Server } from 'node:http'
import { limitConnections, paceReading, type LimitConnectionsOptions } from '@forkstage/answers'

/** A listening server that closes together with its connections. */
export interface Listener {
  server: Server
  close(): void
}

/** Time for a whole request to arrive, so that one that never does takes no memory for long. */
const REQUEST_TIMEOUT_MS = 30_000
const CHECK_EVERY_MS = 1_000
const TIMEOUTS = { requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: CHECK_EVERY_MS }

/** Listens on `ip:port`. Resolves once the server is listening. */
export function listenOn(
  handler: RequestListener | Server,
  address: string,
  connections: LimitConnectionsOptions,
): Promise<Listener> {
  const server = typeof handler === 'function' ? createPacedServer(handler) : handler
  limitConnections(server, connections)
  const colon = address.lastIndexOf(':')
  return new Promise((resolve, reject) => {
    const onListening = () =>
      resolve({
        server,
        close: () => {
          server.close()
          server.closeAllConnections()
        },
      })
    server.once('error', (error) => {
      // A server may be told to listen again after a failure.
      server.off('listening', onListening)
      reject(error)
    })
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), onListening)
  })
}

function createPacedServer(handler: RequestListener): Server {
  const server = createServer(TIMEOUTS, handler)
  paceReading(server)
  return server
}

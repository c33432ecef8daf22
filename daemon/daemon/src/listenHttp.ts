import { createServer, type RequestListener, type Server } from 'node:http'
import { paceReading } from '@forkstage/answers'
import { ForkstageError } from '@forkstage/error'
import { parseAddress } from '@forkstage/peer-rpc'
import type { Address } from '@forkstage/types'

/** Thrown when a listener cannot be opened. */
export class ListenError extends ForkstageError {
  constructor(address: Address, cause: Error) {
    super(
      'FORKSTAGE_LISTEN',
      `Cannot listen on ${address}: ${cause.message}`,
      "Check that the address is this box's and that the port is free.",
      { step: 'listen', cause },
    )
  }
}

/** Listens for HTTP on an address; resolves once the listener is open. */
export function listenHttp(handler: RequestListener, address: Address): Promise<Server> {
  const { host, port } = parseAddress(address)
  const server = createServer(handler)
  paceReading(server)
  return new Promise((resolve, reject) => {
    server.once('error', (error) => reject(new ListenError(address, error)))
    server.listen(port, host, () => resolve(server))
  })
}

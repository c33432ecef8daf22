import type { LimitConnectionsOptions } from '@forkstage/answers'
import type { Address } from '@forkstage/types'
import { listenOn, type Listener } from './listenOn'

const READY = 200
const NOT_READY = 503

/** Serves the readiness check of a load balancer at one path. */
export function serveReadiness(
  path: string,
  isReady: () => boolean,
  address: Address,
  connections: LimitConnectionsOptions,
): Promise<Listener> {
  return listenOn(
    (request, response) => {
      response.statusCode = request.url === path && isReady() ? READY : NOT_READY
      response.end()
    },
    address,
    connections,
  )
}

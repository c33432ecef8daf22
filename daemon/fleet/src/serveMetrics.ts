import type { LimitConnectionsOptions } from '@forkstage/answers'
import type { Address } from '@forkstage/types'
import type { FleetMetrics } from './fleetMetrics'
import { listenOn, type Listener } from './listenOn'

const PATH = '/metrics'

/** Serves a machine's metrics if an address is set. Returns the listeners, none without an address. */
export async function serveMetrics(
  metrics: FleetMetrics,
  address: Address | undefined,
  connections: LimitConnectionsOptions,
): Promise<Listener[]> {
  if (address === undefined) return []
  const listener = await listenOn(
    (request, response) => {
      if (request.url !== PATH) {
        response.statusCode = 404
        return void response.end()
      }
      void metrics.text().then((text) => {
        response.setHeader('Content-Type', 'text/plain; version=0.0.4')
        response.end(text)
      })
    },
    address,
    connections,
  )
  return [listener]
}

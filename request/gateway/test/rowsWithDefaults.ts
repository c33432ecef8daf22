import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Route } from '@forkstage/routes'

/** The engines of a model service. */
export const ENGINE = {
  slots: 8,
  kvTokens: 100_000,
  kvBytesPerToken: 1,
  linkMbps: 1,
  tokensPerEvent: 1,
  handleMs: 5_000,
  stageChangeMs: 1,
  canMove: true,
}

/** Returns an endpoint with defaults for the fields that are left out. */
export function endpointWithDefaults(fields: Partial<RegisteredEndpoint>, index: number): RegisteredEndpoint {
  const base = {
    id: `i-${index}`,
    service: 'plain',
    address: '',
    zone: 'z',
    slots: 4,
    models: [],
    sequence: 1,
  }
  return { ...base, state: 'ready', ...fields }
}

/** Returns a route with defaults for the fields that are left out. */
export function routeWithDefaults(fields: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'h.example',
    prefix: '/p/',
    kind: 'safe',
    timeoutMs: 4_000,
    targetMs: 1_000,
    attempts: 2,
    priority: 1,
    shares: [{ service: 'plain', weight: 1 }],
    resumable: false,
    ...fields,
  }
}

import type { EndpointUpdate } from '@forkstage/load'
import type { EndpointRow } from '@forkstage/types'

/** A row of a plain service's endpoint. */
export function plainRow(endpoint: string, address: string): EndpointRow {
  return {
    endpoint,
    address,
    domain: 'x',
    service: 's',
    pool: 'plain',
    models: [],
    weight: 1,
    maxInFlight: 6,
    kvTokens: 0,
    promptTokensPerSecond: 0,
    state: 'serve',
    checksFences: false,
    repeatable: false,
  }
}

/** An owner's update on that endpoint, with this box's share. */
export function plainUpdate(share: number): EndpointUpdate {
  const rest = { promptTokensPerSecond: Infinity, othersPrefillTokens: 0, cacheEvents: [] }
  return { leaseMs: 60_000, share, ...rest }
}

import type { Address } from '@forkstage/types'
import type { RegisteredEndpoint } from './directoryTypes'

/**
 * Of instances at one address the one that registered last: the others have ended without a word, for a process
 * listens there alone.
 * @param endpoints in the order in which they last changed, as {@link Directory.list} gives them.
 */
export function newestPerAddress(endpoints: RegisteredEndpoint[]): RegisteredEndpoint[] {
  const newest = new Map<Address, RegisteredEndpoint>()
  for (const endpoint of endpoints) newest.set(endpoint.address, endpoint)
  return endpoints.filter((endpoint) => newest.get(endpoint.address) === endpoint)
}

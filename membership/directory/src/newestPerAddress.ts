import type { Address } from '@forkstage/types'
import type { RegisteredEndpoint } from './directoryTypes'

/**
 * The endpoints without those whose address a later one uses. Only one process can listen at an address, so the earlier ones
 * ended without reporting it, also if a report of theirs arrives late.
 * @param endpoints in the order in which they were first received, as {@link Directory.list} returns them.
 */
export function newestPerAddress(endpoints: RegisteredEndpoint[]): RegisteredEndpoint[] {
  const newest = new Map<Address, RegisteredEndpoint>()
  for (const endpoint of endpoints) newest.set(endpoint.address, endpoint)
  return endpoints.filter((endpoint) => newest.get(endpoint.address) === endpoint)
}

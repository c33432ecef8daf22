import type { Address } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import type { RelayParts } from './relayParts'

/** How an exchange ended without a complete answer. */
interface BrokenExchange {
  /** The box that carried it; absent if it was direct. */
  via?: Address
  /** Whether this entry ended it. */
  isCancelled?: boolean
}

/** Whether an exchange broke off because of a link or the box that carried it, rather than its endpoint. */
export async function wasLostOnTheWay(
  { dialer }: Pick<RelayParts, 'dialer'>,
  { endpoint }: PooledEndpoint,
  { via, isCancelled }: BrokenExchange,
): Promise<boolean> {
  if (dialer === undefined) return false
  if (isCancelled === true) return via === undefined && dialer.paths.isIndirect(endpoint.address)
  return dialer.isPathLoss(endpoint.address, via)
}

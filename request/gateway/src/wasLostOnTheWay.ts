import type { PooledEndpoint } from './pooledEndpoint'
import type { BrokenExchange } from './exchange'
import type { RelayParts } from './relayParts'

/** Whether an exchange broke off because of a link or the box that carried it, rather than its endpoint. */
export async function wasLostOnTheWay(
  { dialer }: Pick<RelayParts, 'dialer'>,
  { endpoint }: PooledEndpoint,
  { via, isCancelled }: Pick<BrokenExchange, 'via' | 'isCancelled'>,
): Promise<boolean> {
  if (dialer === undefined) return false
  if (isCancelled === true) return via === undefined && dialer.paths.isIndirect(endpoint.address)
  return dialer.isPathLoss(endpoint.address, via)
}

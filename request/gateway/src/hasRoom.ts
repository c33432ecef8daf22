import type { RoutedService } from '@forkstage/routes'
import { connectionShare } from './connectionShare'
import type { PooledEndpoint } from './pooledEndpoint'
import type { RelayParts } from './relayParts'

/** Whether an endpoint accepts requests and has room for one more from this entry. */
export function hasRoom(
  { entries, pool }: Pick<RelayParts, 'entries' | 'pool'>,
  { maxConnections }: RoutedService,
  to: PooledEndpoint,
): boolean {
  if (!pool.isAvailable(to)) return false
  const share = entries === undefined ? Infinity : connectionShare(maxConnections, entries())
  return to.inFlight < Math.min(to.limit.value, share)
}

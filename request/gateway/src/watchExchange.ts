import { cancelWhenEnded } from './cancelWhenEnded'
import { cancelWhenPathIsLost, type PathWatchOptions } from './cancelWhenPathIsLost'
import type { PooledEndpoint } from './pooledEndpoint'
import type { Exchange } from './exchange'
import type { RelayParts } from './relayParts'

/**
 * Cancels an exchange that cannot be answered any more, since its endpoint has ended or the path to it is lost.
 * @returns a function that stops watching; call it when the exchange is over.
 */
export function watchExchange(
  parts: Pick<RelayParts, 'pool' | 'dialer' | 'clock'>,
  to: PooledEndpoint,
  exchange: Exchange,
  options: PathWatchOptions,
): () => void {
  const cancelEndListener = cancelWhenEnded(parts, to, exchange)
  const unwatchPath = cancelWhenPathIsLost(parts, to, exchange, options)
  return () => {
    cancelEndListener()
    unwatchPath()
  }
}

import type { CancelTimer } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import type { Exchange } from './exchange'
import type { RelayParts } from './relayParts'

/** Options of {@link cancelWhenPathIsLost}. */
export interface PathWatchOptions {
  /** Silence after which the exchange is given up; an open connection may still work where new ones fail. */
  patienceMs: Millis
  /** Whether the request may be sent again now. */
  mayRepeat: () => boolean
}

/**
 * Cancels a silent direct exchange once its endpoint is reached only through other boxes, so that the request is sent again
 * that way.
 * @returns a function that stops watching; call it when the exchange is over.
 */
export function cancelWhenPathIsLost(
  { dialer, clock }: Pick<RelayParts, 'dialer' | 'clock'>,
  { endpoint }: PooledEndpoint,
  exchange: Exchange,
  { patienceMs, mayRepeat }: PathWatchOptions,
): () => void {
  const startedAt = clock.now()
  let cancelCheck: CancelTimer = () => undefined
  const check = () => {
    const silentMs = Math.min(exchange.silentMs(), clock.now() - startedAt)
    if (silentMs < patienceMs) cancelCheck = clock.after(patienceMs - silentMs, check)
    else if (exchange.isDirect() && mayRepeat()) exchange.cancel('the path to the endpoint is lost')
  }
  const unwatch = dialer?.onIndirect(endpoint.address, check)
  return () => {
    unwatch?.()
    cancelCheck()
  }
}

import type { CancelTimer } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import type { Exchange } from './exchange'
import type { RelayParts } from './relayParts'

/** Events of a running stream are tens of milliseconds apart, and route sheets allow pauses of up to 300 ms. */
const MAX_SILENCE_MS: Millis = 400

/**
 * Cancels an exchange once its endpoint is reported as ended and sends nothing more. Reports of other boxes may be late or
 * wrong, so bytes that still arrive take precedence.
 * @returns a function that stops watching; call it when the exchange is over.
 */
export function cancelWhenEnded(
  { pool, clock }: Pick<RelayParts, 'pool' | 'clock'>,
  to: PooledEndpoint,
  exchange: Exchange,
): () => void {
  let cancelCheck: CancelTimer = () => undefined
  const unwatch = pool.onEnded(to, (reason) => {
    const check = () => {
      const leftMs = MAX_SILENCE_MS - exchange.silentMs()
      if (leftMs <= 0) exchange.cancel(reason)
      else cancelCheck = clock.after(leftMs, check)
    }
    check()
  })
  return () => {
    unwatch()
    cancelCheck()
  }
}

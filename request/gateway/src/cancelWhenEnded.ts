import type { CancelTimer } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import type { Exchange } from './exchange'
import type { RelayParts } from './relayParts'

/** Events of an engine at work follow each other within some ten milliseconds; sheets allow pauses of 300 ms. */
const MAX_SILENCE_MS: Millis = 400

/**
 * Cancels an exchange whose endpoint is said to have ended, once nothing comes from it any more. What other machines
 * say may be late or wrong; bytes that still come are better evidence.
 * @returns what to call when the exchange is over.
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

import type { RelayJob, RelayParts } from './relayParts'
import { waitFor } from './waitFor'

const WAIT_FOR_ENGINES_MS = 250

/**
 * Waits until a decode engine of the request's service is known, up to a limit: a machine that has just started
 * receives its endpoints within moments.
 */
export async function waitForDecodeEngine({ pool, clock }: RelayParts, { service }: RelayJob): Promise<void> {
  const limit = pool.isFullyBarred(service.name, 'decode') ? 0 : WAIT_FOR_ENGINES_MS
  await waitFor(clock, limit, () => pool.hasEndpoints(service.name, { stage: 'decode' }) || undefined)
}

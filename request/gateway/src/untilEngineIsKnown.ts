import type { RelayJob, RelayParts } from './relayParts'
import { waitFor } from './waitFor'

const WAIT_FOR_ENGINES_MS = 250

/** A machine that has just started learns its endpoints in a moment. */
export async function untilEngineIsKnown({ pool, clock }: RelayParts, { service }: RelayJob): Promise<void> {
  const limit = pool.isEmptied(service.name, 'decode') ? 0 : WAIT_FOR_ENGINES_MS
  await waitFor(clock, limit, () => pool.knows(service.name, { stage: 'decode' }) || undefined)
}

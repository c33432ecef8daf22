import { delay, type Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { ControlIngress } from './controlIngress'
import { endCallers } from './endCallers'

/** Options of {@link endRequests}. */
export interface EndRequestsOptions {
  ingress: ControlIngress
  /** Time from now until the process is killed. */
  graceMs: Millis
  clock: Clock
  logger: Logger
}

/** How long a stopping machine carries requests out after it has handed leadership over. */
const LEAVING_SERVES_MS: Millis = 400
/** Margin between the last answer and the forced end of the process. */
const GRACE_MARGIN_MS: Millis = 400

/**
 * Ends the requests at a stopping control machine: carries them out for a while, then refuses what still arrives. Resolves
 * to the number of requests cut off, once no connection is left or the grace time is over.
 */
export async function endRequests({ ingress, graceMs, clock, logger }: EndRequestsOptions): Promise<number> {
  const leftMs = Math.max(0, graceMs - GRACE_MARGIN_MS)
  const endsAt = clock.now() + leftMs
  ingress.leave()
  await delay(clock, Math.min(LEAVING_SERVES_MS, leftMs / 2))
  return endCallers({ ingress, isCarrying: () => false, endsAt, clock, logger })
}

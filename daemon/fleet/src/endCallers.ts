import { delay, type Clock } from '@forkstage/clock'
import type { Ingress } from '@forkstage/gateway'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** Options of {@link endCallers}. */
export interface EndCallersOptions {
  ingress: Pick<Ingress, 'running' | 'close' | 'closeAll' | 'closedConnections'>
  /** Returns whether this machine carries connections of other machines. */
  isCarrying: () => boolean
  /** When connections are closed at the latest. */
  endsAt: Millis
  clock: Clock
  logger: Logger
}

/** Time left for connections that were accepted last to bring their requests and be answered. */
const LAST_ANSWERS_MS: Millis = 500
const IDLE_POLL_MS: Millis = 50
/** Ended connections are reported closed within a few turns of the event loop. */
const CUT_LOG_WAIT_MS: Millis = 100
const CUT_LOG_POLL_MS: Millis = 5

/**
 * Ends the connections of callers: in order where they are quiet in time, at once otherwise. Returns the number of requests
 * cut off.
 */
export async function endCallers(options: EndCallersOptions): Promise<number> {
  const { ingress, isCarrying, endsAt, clock, logger } = options
  const startedAt = clock.now()
  let isClosed = false
  const acceptUntil = Math.max(startedAt, endsAt - LAST_ANSWERS_MS)
  void ingress.close({ acceptUntil }).then(() => (isClosed = true))
  const isBusy = () => !isClosed || ingress.running > 0 || isCarrying()
  while (isBusy() && clock.now() < endsAt) await delay(clock, IDLE_POLL_MS)
  const cut = ingress.running
  await ingress.closeAll()
  // Each cut answer is logged under its id, for which the process has to wait.
  for (let waited = 0; ingress.running > 0 && waited < CUT_LOG_WAIT_MS; waited += CUT_LOG_POLL_MS)
    await delay(clock, CUT_LOG_POLL_MS)
  logger.info('callers.closed', {
    ...ingress.closedConnections,
    tookMs: Math.round(clock.now() - startedAt),
  })
  return cut
}

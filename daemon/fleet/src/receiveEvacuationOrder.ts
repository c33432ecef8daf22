import { delay, type Clock } from '@forkstage/clock'
import type { EvacuationResult } from '@forkstage/evacuation'
import type { Millis } from '@forkstage/types'
import type { EvacuationRequest, EvacuationService } from './evacuationService'

/**
 * Delay before an order is executed. The network or a paused machine may deliver an order after its caller has left; the
 * end of its connection then arrives within a round trip.
 */
const SETTLE_MS: Millis = 100
/** How long a caller may wait for its answer. */
const CALLER_PATIENCE_MS: Millis = 1_000

/**
 * Executes an order that an operator has sent to this control machine, unless the order may be outdated: its caller has left,
 * or this machine was suspended while the order was under way.
 * @throws GroupUnavailableError if the order was not executed or its outcome is unknown.
 */
export async function receiveEvacuationOrder(
  service: EvacuationService,
  clock: Clock,
  request: EvacuationRequest,
): Promise<EvacuationResult> {
  const receivedAt = clock.now()
  await delay(clock, SETTLE_MS)
  const isWaitedFor = () => request.isWaitedFor() && clock.suspendedAt() < receivedAt - CALLER_PATIENCE_MS
  return service.set({ ...request, isWaitedFor })
}

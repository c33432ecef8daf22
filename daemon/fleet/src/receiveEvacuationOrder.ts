import type { EvacuationResult } from '@forkstage/evacuation'
import type { EvacuationRequest, EvacuationService } from './evacuationService'

/** Executes an order that an operator has sent to this control machine. */
export function receiveEvacuationOrder(
  service: EvacuationService,
  request: EvacuationRequest,
): Promise<EvacuationResult> {
  return service.set(request)
}

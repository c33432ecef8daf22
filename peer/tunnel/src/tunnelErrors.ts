import { ForkstageError } from '@forkstage/error'

/**
 * Why another box opened no connection to an endpoint. `refused`: the endpoint's machine refuses connections, while that box
 * reaches others; `silent`: no connection in time, or no endpoint that the box knows; `indirect`: that box
 * reaches this endpoint only through others; `unavailable`: it opens none now. The last two say nothing about the endpoint.
 */
export type TunnelRefusal = 'refused' | 'silent' | 'indirect' | 'unavailable'

/** Error codes by refusal. */
export const TUNNEL_REFUSALS: Record<TunnelRefusal, `FORKSTAGE_${string}`> = {
  refused: 'FORKSTAGE_TUNNEL_REFUSED',
  silent: 'FORKSTAGE_TUNNEL_SILENT',
  indirect: 'FORKSTAGE_TUNNEL_INDIRECT',
  unavailable: 'FORKSTAGE_TUNNEL_UNAVAILABLE',
}

/** Raised where a box opens no connection to an endpoint for another one. */
export class TunnelRefusedError extends ForkstageError {
  constructor(refusal: TunnelRefusal, endpoint: string, reason: string) {
    super(
      TUNNEL_REFUSALS[refusal],
      `No connection to ${endpoint}: ${reason}`,
      'The box that asked may ask another one.',
      { step: 'tunnel', peer: endpoint },
    )
  }
}

/** Raised where a connection that another box carries ends although that box has not said that the endpoint has ended. */
export class TunnelLostError extends ForkstageError {
  constructor() {
    super(
      'FORKSTAGE_TUNNEL_LOST',
      'The box that carried the connection has closed it',
      'What the endpoint has sent may be incomplete.',
      { step: 'tunnel' },
    )
  }
}

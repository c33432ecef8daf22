import type { Duplex } from 'node:stream'
import type { Clock } from '@forkstage/clock'
import { connectSocket, JOIN, type PeerCaller, type PeerCredentials } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import { TunnelRefusedError } from './tunnelErrors'
import { FRAMES, TUNNEL_OPEN, type TunnelTicket } from './tunnelServer'
import { TunnelStream } from './tunnelStream'

/** Options of {@link openTunnel}. */
export interface OpenTunnelOptions {
  peers: PeerCaller
  credentials: PeerCredentials
  clock: Clock
  timeoutMs: Millis
}

/**
 * Opens a connection to an endpoint through another box; both legs are connected when it resolves. It fails instead of
 * ending unless the endpoint has ended it.
 * @throws PeerAnswerError with a code of {@link TUNNEL_REFUSALS} if that box opens none, TunnelRefusedError if it sends no
 * frames, PeerUnreachableError if it cannot be reached in time.
 */
export async function openTunnel(
  box: Address,
  endpoint: Address,
  options: OpenTunnelOptions,
): Promise<Duplex> {
  const { peers, credentials, clock, timeoutMs } = options
  // Both at once: the ticket usually arrives when the connection is open.
  const joining = connectSocket(box, { ...credentials, connectMs: timeoutMs }, clock)
  // It may fail while the call is still pending.
  joining.catch(() => undefined)
  try {
    const call = { deadline: timeoutMs, step: 'tunnel' }
    const request = { endpoint, format: FRAMES }
    const { ticket, format } = await peers.call<TunnelTicket>(box, TUNNEL_OPEN, request, call)
    if (format !== FRAMES) throw new TunnelRefusedError('unavailable', endpoint, 'that box sends no frames')
    const socket = await joining
    socket.setNoDelay(true)
    socket.write(`${JSON.stringify({ jsonrpc: '2.0', method: JOIN, params: { ticket } })}\n`)
    // Its reader may have left already.
    return new TunnelStream(socket).on('error', () => undefined)
  } catch (error) {
    joining.then(
      (socket) => socket.destroy(),
      () => undefined,
    )
    throw error
  }
}

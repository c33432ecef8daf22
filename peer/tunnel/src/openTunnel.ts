import type { Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import { connectSocket, JOIN, type PeerCaller, type PeerCredentials } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import { TUNNEL_OPEN, type TunnelTicket } from './tunnelServer'

/** Options of {@link openTunnel}. */
export interface OpenTunnelOptions {
  peers: PeerCaller
  credentials: PeerCredentials
  clock: Clock
  timeoutMs: Millis
}

/**
 * Opens a connection to an endpoint through another box; both legs are connected when it resolves.
 * @throws PeerAnswerError with a code of {@link TUNNEL_REFUSALS} if that box opens none, PeerUnreachableError if it cannot
 * be reached in time.
 */
export async function openTunnel(
  box: Address,
  endpoint: Address,
  options: OpenTunnelOptions,
): Promise<Socket> {
  const { peers, credentials, clock, timeoutMs } = options
  // Both at once: the ticket usually arrives when the connection is open.
  const joining = connectSocket(box, { ...credentials, connectMs: timeoutMs }, clock)
  // It may fail while the call is still pending.
  joining.catch(() => undefined)
  try {
    const call = { deadline: timeoutMs, step: 'tunnel' }
    const { ticket } = await peers.call<TunnelTicket>(box, TUNNEL_OPEN, { endpoint }, call)
    const socket = await joining
    socket.setNoDelay(true)
    socket.write(`${JSON.stringify({ jsonrpc: '2.0', method: JOIN, params: { ticket } })}\n`)
    return socket
  } catch (error) {
    joining.then(
      (socket) => socket.destroy(),
      () => undefined,
    )
    throw error
  }
}

import type { Duplex } from 'node:stream'
import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { PeerCaller, PeerCredentials } from '@forkstage/peer-rpc'
import { openTunnel, TUNNEL_REFUSALS, type TunnelRefusal } from '@forkstage/tunnel'
import type { Address, Millis } from '@forkstage/types'
import type { PendingConnect, TunnelResult } from './pathTypes'

/** Options of {@link tunnelThrough}. */
export interface TunnelThroughOptions {
  peers: PeerCaller
  credentials: PeerCredentials
  clock: Clock
}

/** Opens a connection to an endpoint through another box. */
export function tunnelThrough(
  box: Address,
  endpoint: Address,
  timeoutMs: Millis,
  options: TunnelThroughOptions,
): PendingConnect<TunnelResult> {
  let isCancelled = false
  let opened: Duplex | undefined
  const result = openTunnel(box, endpoint, { ...options, timeoutMs }).then(
    (socket): TunnelResult => {
      opened = socket
      if (isCancelled) socket.destroy()
      return { type: 'connected', socket }
    },
    (error: unknown): TunnelResult => {
      const { code, message } = toErrorBody(error)
      return { type: refusalOf(code), reason: message }
    },
  )
  const cancel = () => {
    isCancelled = true
    opened?.destroy()
  }
  return { result, cancel }
}

function refusalOf(code: string): TunnelRefusal {
  const refusals = Object.entries(TUNNEL_REFUSALS) as [TunnelRefusal, string][]
  return refusals.find(([, one]) => one === code)?.[0] ?? 'unavailable'
}

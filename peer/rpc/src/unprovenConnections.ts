import type { Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { ChannelLimits } from './lineChannel'

/** Limits for a connection before it has proved the shared key: two calls, some probes, and an announced takeover. */
export const UNPROVEN_LIMITS: ChannelLimits = { lineBytes: 4_096, unsentBytes: 16_384, lines: 32 }
/** How long a connection may take to prove the shared key. */
const PROOF_MS: Millis = 5_000
/** Connections without proof at once; many times more than boxes that connect after a restart of all. */
const MAX_UNPROVEN = 1_024

/** Options of {@link UnprovenConnections}. */
export interface UnprovenConnectionsOptions {
  clock: Clock
  maxCount?: number
  /** Called with the address of each connection that is closed because it has proved nothing in time. */
  onLate: (peer: string) => void
}

/** Bounds the number and the time of connections that have not proved the shared key. */
export class UnprovenConnections {
  private readonly cancels = new Map<Socket, () => void>()

  constructor(private readonly options: UnprovenConnectionsOptions) {}

  /** Admits a connection, or closes it where there are too many. Returns whether it is admitted. */
  admit(socket: Socket): boolean {
    const { clock, maxCount = MAX_UNPROVEN, onLate } = this.options
    if (this.cancels.size >= maxCount) {
      socket.destroy()
      return false
    }
    const peer = `${socket.remoteAddress}:${socket.remotePort}`
    const end = () => {
      onLate(peer)
      socket.destroy()
    }
    this.cancels.set(socket, clock.after(PROOF_MS, end))
    socket.once('close', () => this.release(socket))
    return true
  }

  /** Records that a connection has proved the shared key, was taken over, or has ended. */
  release(socket: Socket): void {
    this.cancels.get(socket)?.()
    this.cancels.delete(socket)
  }
}

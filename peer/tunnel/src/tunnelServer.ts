import { randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import type { CancelTimer, Clock } from '@forkstage/clock'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import { joinSockets } from './joinSockets'
import { TunnelRefusedError } from './tunnelErrors'

/** Method that asks for a connection to an endpoint. */
export const TUNNEL_OPEN = 'tunnel.open'

/** The endpoint's bytes are sent in frames. Earlier builds send them bare, and neither name nor ask for a format. */
export const FRAMES = 'frames'

/** Parameters of {@link TUNNEL_OPEN}. */
export interface TunnelRequest {
  endpoint: Address
  format?: string
}

/** Result of {@link TUNNEL_OPEN}: proves once that the joining connection belongs to the caller. */
export interface TunnelTicket {
  ticket: string
  format?: string
}

/** Options of {@link TunnelServer}. */
export interface TunnelServerOptions {
  /** Whether an address belongs to a registered endpoint; connections to others are refused. */
  isRegistered: (endpoint: Address) => boolean
  /** Connects to an endpoint. @throws TunnelRefusedError */
  connect: (endpoint: Address) => Promise<Socket>
  /** Whether this box takes no more, for example since it is stopping. */
  isClosed: () => boolean
  clock: Clock
}

/** Each tunnel needs two descriptors. */
const MAX_TUNNELS = 512
/** A box joins at once; the connection of one that does not is closed. */
const JOIN_WITHIN_MS: Millis = 1_000
const TICKET_BYTES = 18

interface OpenedConnection {
  endpoint: Socket
  cancelExpiry: CancelTimer
}

/** Opens connections to registered endpoints for other boxes and carries their bytes. */
export class TunnelServer {
  private readonly opened = new Map<string, OpenedConnection>()
  private carried = 0

  constructor(private readonly options: TunnelServerOptions) {}

  /** Number of tunnels, with those that are not joined yet. */
  get count(): number {
    return this.carried + this.opened.size
  }

  /** Returns the methods that other boxes may call. */
  methods(): Record<string, PeerMethod> {
    return { [TUNNEL_OPEN]: (request: TunnelRequest) => this.open(request) }
  }

  /** Carries the bytes of a connection that joined with a ticket; closes it where the ticket is unknown. */
  join(ticket: string, peer: Socket): void {
    const found = this.opened.get(ticket)
    if (found === undefined) return void peer.resetAndDestroy()
    this.opened.delete(ticket)
    found.cancelExpiry()
    this.carried += 1
    found.endpoint.once('close', () => (this.carried -= 1))
    joinSockets(peer, found.endpoint)
  }

  /** Closes connections that no peer has joined. */
  close(): void {
    for (const [ticket, one] of this.opened) this.expire(ticket, one)
  }

  private async open({ endpoint, format }: TunnelRequest): Promise<TunnelTicket> {
    const { isClosed, isRegistered, connect, clock } = this.options
    // A box that reads bare bytes could not tell the end of this box from that of the endpoint.
    if (format !== FRAMES) throw new TunnelRefusedError('unavailable', endpoint, 'this box sends frames')
    if (isClosed() || this.count >= MAX_TUNNELS)
      throw new TunnelRefusedError('unavailable', endpoint, 'this box takes no more')
    if (!isRegistered(endpoint))
      throw new TunnelRefusedError('silent', endpoint, 'no endpoint is registered there')
    const socket = await connect(endpoint)
    const ticket = randomBytes(TICKET_BYTES).toString('base64')
    const one: OpenedConnection = { endpoint: socket, cancelExpiry: () => undefined }
    one.cancelExpiry = clock.after(JOIN_WITHIN_MS, () => this.expire(ticket, one))
    socket.on('error', () => this.expire(ticket, one))
    this.opened.set(ticket, one)
    return { ticket, format: FRAMES }
  }

  private expire(ticket: string, { endpoint, cancelExpiry }: OpenedConnection): void {
    if (!this.opened.delete(ticket)) return
    cancelExpiry()
    endpoint.destroy()
  }
}

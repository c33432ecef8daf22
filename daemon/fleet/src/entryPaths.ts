import type { Socket } from 'node:net'
import type { Directory, RegisteredEndpoint } from '@forkstage/directory'
import { connectDirectly, EndpointDialer, tunnelThrough } from '@forkstage/paths'
import type { DelayMonitor } from '@forkstage/overload'
import type { PeerMethod } from '@forkstage/peer-rpc'
import { TunnelRefusedError, TunnelServer } from '@forkstage/tunnel'
import type { Address } from '@forkstage/types'
import type { MachineContext } from './machineContext'

/** Options of {@link EntryPaths}. */
export interface EntryPathsOptions {
  context: MachineContext
  directory: Directory
  /** Returns other entries, which may carry connections. */
  neighbours: () => Address[]
  /** Whether this entry carries no more connections for others, since it stops or has too much of its own. */
  refusesTunnels: () => boolean
  delays: Pick<DelayMonitor, 'recordConnect' | 'recordUnanswered' | 'delayMs'>
}

/** States of endpoints that may run requests. */
const STATES_AT_WORK = new Set<RegisteredEndpoint['state']>(['ready', 'draining'])
/** Leaves time to check this entry's links before the entry that asked gives up. */
const PEER_CONNECT_MS = 200

/** An entry's connections to endpoints: its own, those that other entries carry for it, and those it carries for others. */
export class EntryPaths {
  readonly dialer: EndpointDialer
  private readonly tunnels: TunnelServer

  constructor(private readonly options: EntryPathsOptions) {
    const { context, neighbours, refusesTunnels, delays } = options
    const { clock, random, logger, peers, credentials } = context
    this.dialer = new EndpointDialer({
      connect: (endpoint, timeoutMs) => connectDirectly(endpoint, timeoutMs, clock),
      tunnel: (box, endpoint, timeoutMs) =>
        tunnelThrough(box, endpoint, timeoutMs, { peers, credentials, clock }),
      neighbours,
      endpoints: () => this.addressesAtWork(),
      onConnected: (endpoint, tookMs) => delays.recordConnect(endpoint, tookMs),
      onUnanswered: (tookMs) => delays.recordUnanswered(tookMs),
      ownDelayMs: () => delays.delayMs,
      clock,
      random,
      logger,
    })
    this.tunnels = new TunnelServer({
      isRegistered: (address) => this.addressesAtWork().includes(address),
      connect: (address) => connectForPeer(this.dialer, address),
      isClosed: refusesTunnels,
      clock,
    })
  }

  /** Whether this entry reached an endpoint when it last tried. */
  get hasPath(): boolean {
    return this.dialer.paths.hasPath
  }

  /** Number of connections that this entry carries for others. */
  get carried(): number {
    return this.tunnels.count
  }

  /** Returns the methods that other entries may call. */
  methods(): Record<string, PeerMethod> {
    return this.tunnels.methods()
  }

  /** Carries a connection that another entry announced with a ticket. */
  join(ticket: string, socket: Socket): void {
    this.tunnels.join(ticket, socket)
  }

  /** Forgets what is known of endpoints that have left. */
  sweep(): void {
    this.dialer.sweep()
  }

  stop(): void {
    this.dialer.stop()
    this.tunnels.close()
  }

  private addressesAtWork(): Address[] {
    const all = this.options.directory.list()
    return all.filter(({ state }) => STATES_AT_WORK.has(state)).map(({ address }) => address)
  }
}

/** Connects to an endpoint for another entry. @throws TunnelRefusedError */
async function connectForPeer(dialer: EndpointDialer, endpoint: Address): Promise<Socket> {
  const result = await dialer.dialForPeer(endpoint, PEER_CONNECT_MS)
  if (result.type !== 'connected') throw new TunnelRefusedError(result.type, endpoint, result.reason)
  return result.socket
}

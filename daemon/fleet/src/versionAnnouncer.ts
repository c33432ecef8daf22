import { PLACE } from '@forkstage/allocator'
import { delay, type Clock } from '@forkstage/clock'
import { versionOf, type InstanceId, type RegisteredEndpoint } from '@forkstage/directory'
import type { StreamOrigin } from '@forkstage/origins'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import type { ControlOrigins } from './controlOrigins'

/** Options of {@link VersionAnnouncer}. */
export interface VersionAnnouncerOptions {
  /** This machine's address for other machines. */
  self: Address
  /** Returns the leader's address; undefined while this machine knows of none. */
  leader: () => Address | undefined
  origins: Pick<ControlOrigins, 'isRunning' | 'recordVersions'>
  peers: Pick<PeerCaller, 'call'>
  /** Called with the engines whose version the leader has confirmed. */
  onConfirmed: (endpoints: RegisteredEndpoint[]) => void
  clock: Clock
}

const ANSWER_WITHIN_MS: Millis = 600
const ASK_AGAIN_AFTER_MS: Millis = 50

/**
 * Has the leader confirm each software version that registers here and is new, before any other machine hears of it. No entry
 * can begin a stream at a version that the leader does not know, also while it reaches nobody but this machine.
 */
export class VersionAnnouncer {
  private readonly held = new Map<InstanceId, RegisteredEndpoint>()
  private isAsking = false
  private isStopped = false

  constructor(private readonly options: VersionAnnouncerOptions) {}

  /** The number of engines that are held back. */
  get heldCount(): number {
    return this.held.size
  }

  /** Holds an engine back if none of its version runs; returns whether it does. */
  hold(endpoint: RegisteredEndpoint): boolean {
    if (endpoint.stage === undefined || this.options.origins.isRunning(toVersion(endpoint))) return false
    this.held.set(endpoint.id, endpoint)
    void this.announce()
    return true
  }

  /** Drops an engine that leaves. */
  forget(id: InstanceId): void {
    this.held.delete(id)
  }

  stop(): void {
    this.isStopped = true
  }

  private async announce(): Promise<void> {
    if (this.isAsking) return
    this.isAsking = true
    try {
      await this.askUntilConfirmed()
    } finally {
      this.isAsking = false
      if (this.held.size > 0 && !this.isStopped)
        this.options.clock.after(ASK_AGAIN_AFTER_MS, () => void this.announce())
    }
  }

  private async askUntilConfirmed(): Promise<void> {
    while (this.held.size > 0 && !this.isStopped) {
      const versions = [...this.held.values()].map(toVersion)
      if (await this.isConfirmed(versions)) this.release(versions)
      else await delay(this.options.clock, ASK_AGAIN_AFTER_MS)
    }
  }

  private async isConfirmed(versions: StreamOrigin[]): Promise<boolean> {
    const { leader, self, peers } = this.options
    const address = leader()
    if (address === undefined) return false
    if (address === self) return true
    const options = { deadline: ANSWER_WITHIN_MS, step: 'announce version' }
    return peers.call<true>(address, PLACE.origins, { origins: [], versions }, options).catch(() => false)
  }

  private release(versions: StreamOrigin[]): void {
    this.options.origins.recordVersions(versions)
    const keys = new Set(versions.map((version) => JSON.stringify(version)))
    const confirmed = [...this.held.values()].filter((one) => keys.has(JSON.stringify(toVersion(one))))
    confirmed.forEach(({ id }) => this.held.delete(id))
    this.options.onConfirmed(confirmed)
  }
}

function toVersion(endpoint: RegisteredEndpoint): StreamOrigin {
  return { service: endpoint.service, softwareVersion: versionOf(endpoint) }
}

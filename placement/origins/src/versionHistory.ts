import type { Clock } from '@forkstage/clock'
import { versionOf, type InstanceId, type RegisteredEndpoint } from '@forkstage/directory'
import type { Address, Millis } from '@forkstage/types'
import type { StreamOrigin } from './originTypes'

/** The versions that a machine knew when it saved them. */
export interface SavedVersions {
  /** For how long the machine had known every version, in milliseconds. */
  knownForMs: Millis
  versions: StreamOrigin[]
}

/** A version of a service and the engines that may run it. */
interface KnownVersion {
  running: Set<InstanceId>
  /** When the last of them was replaced, left or ended; -Infinity before. */
  endedAt: Millis
}

/** Longer than any stream lasts; Infinity has no form in JSON. */
const ALWAYS_MS: Millis = 1e12
/** Versions that ended longer ago are not saved or kept. */
const KEEP_MS: Millis = 600_000

/** Tells which software versions of a service have had engines lately, and for how long that is known. */
export class VersionHistory {
  private readonly services = new Map<string, Map<string, KnownVersion>>()
  private readonly atAddress = new Map<Address, RegisteredEndpoint>()
  private knownSince: Millis

  constructor(private readonly clock: Pick<Clock, 'now'>) {
    this.knownSince = clock.now()
  }

  /** Applies changed endpoints. */
  update(changed: RegisteredEndpoint[]): void {
    for (const endpoint of changed) if (endpoint.stage !== undefined) this.updateOne(endpoint)
  }

  /**
   * Returns the only version with which a service can have begun a stream in the last `withinMs`; undefined if there are
   * several or none, or not enough is known.
   */
  soleVersion(service: string, withinMs: Millis): string | undefined {
    if (this.knownSince > this.clock.now() - withinMs) return undefined
    const versions = this.versionsWithin(service, withinMs)
    return versions.length === 1 ? versions[0] : undefined
  }

  /** Whether a service is known to have had several versions in the last `withinMs`. */
  hasSeveral(service: string, withinMs: Millis): boolean {
    return this.versionsWithin(service, withinMs).length > 1
  }

  /** Returns the versions with which a service may have begun a stream in the last `withinMs`, as far as known. */
  versionsWithin(service: string, withinMs: Millis): string[] {
    const since = this.clock.now() - withinMs
    const known = [...(this.services.get(service) ?? [])]
    return known
      .filter(([, { running, endedAt }]) => running.size > 0 || endedAt >= since)
      .map(([softwareVersion]) => softwareVersion)
  }

  /** Whether engines of a version are known to run. */
  isRunning({ service, softwareVersion }: StreamOrigin): boolean {
    return (this.services.get(service)?.get(softwareVersion)?.running.size ?? 0) > 0
  }

  /** Records that a service has a version, of which no engine may be known here yet. */
  add({ service, softwareVersion }: StreamOrigin): void {
    this.versionsOf(service, softwareVersion).endedAt = this.clock.now()
  }

  /** Returns what a restart of this machine needs. */
  save(): SavedVersions {
    const now = this.clock.now()
    const isRecent = ({ running, endedAt }: KnownVersion) => running.size > 0 || endedAt >= now - KEEP_MS
    const versions = [...this.services].flatMap(([service, known]) =>
      [...known].flatMap(([softwareVersion, one]) => (isRecent(one) ? [{ service, softwareVersion }] : [])),
    )
    return { knownForMs: Math.round(now - this.knownSince), versions }
  }

  /** Records that no engine can have served before this machine was started. */
  markFounded(): void {
    this.knownSince = -ALWAYS_MS
  }

  /** Restores what was saved before a restart. Each version counts as having ended just now. */
  restore({ knownForMs, versions }: SavedVersions): void {
    const now = this.clock.now()
    for (const { service, softwareVersion } of versions)
      this.versionsOf(service, softwareVersion).endedAt = now
    this.knownSince = Math.min(this.knownSince, now - knownForMs)
  }

  private updateOne(endpoint: RegisteredEndpoint): void {
    const { id, service, address, state } = endpoint
    const isRunning = state === 'ready' || state === 'draining'
    const before = this.atAddress.get(address)
    // Another process at the address, or the same instance with another version, ends the earlier one.
    if (before !== undefined && isRunning) this.end(before)
    if (!isRunning) {
      this.end(endpoint)
      if (before?.id === id) this.atAddress.delete(address)
      return
    }
    this.atAddress.set(address, endpoint)
    this.versionsOf(service, versionOf(endpoint)).running.add(id)
  }

  private end(endpoint: RegisteredEndpoint): void {
    const known = this.versionsOf(endpoint.service, versionOf(endpoint))
    known.running.delete(endpoint.id)
    known.endedAt = this.clock.now()
  }

  private versionsOf(service: string, softwareVersion: string): KnownVersion {
    const versions = this.services.get(service) ?? new Map<string, KnownVersion>()
    this.services.set(service, versions)
    const known = versions.get(softwareVersion) ?? { running: new Set(), endedAt: -Infinity }
    versions.set(softwareVersion, known)
    return known
  }
}

import { nameOf, type Directory, type RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { WatchHub } from '@forkstage/watch'
import { logEndpoints } from './logEndpoints'
import { VersionAnnouncer, type VersionAnnouncerOptions } from './versionAnnouncer'

/** Options of {@link Registrar}. */
export interface RegistrarOptions {
  directory: Directory
  hub: WatchHub
  logger: Logger
  /** Resolves to whether a departure is on the disks of a majority of the control machines. */
  persist: (departed: RegisteredEndpoint) => Promise<boolean>
  /** Whether this machine is connected to a majority of the control machines. */
  isConnected: () => boolean
  /** How the leader confirms new versions; needs no confirmation if absent. */
  versions?: Omit<VersionAnnouncerOptions, 'onConfirmed'>
  /** Called with the endpoints that have changed. */
  onChange?: (changed: RegisteredEndpoint[]) => void
}

/** Bounds in the log the length of a name that a caller sends. */
const MAX_NAME_CHARS = 64

/** Applies registrations of endpoints and notifies followers at once. */
export class Registrar {
  /** Number of invalid registrations since the start. */
  refused = 0

  private readonly versions: VersionAnnouncer | undefined

  constructor(private readonly options: RegistrarOptions) {
    const { versions } = options
    const onConfirmed = (endpoints: RegisteredEndpoint[]) => this.merge(endpoints)
    this.versions = versions && new VersionAnnouncer({ ...versions, onConfirmed })
  }

  /** Number of registrations that wait until the leader has confirmed their version. */
  get waitingCount(): number {
    return this.versions?.heldCount ?? 0
  }

  stop(): void {
    this.versions?.stop()
  }

  /** Counts and logs an invalid registration. What is known of the endpoint stays unchanged. */
  recordRefused(name: string, bytes: number): void {
    this.refused += 1
    this.options.logger.warn('registration.refused', {
      endpoint: name.slice(0, MAX_NAME_CHARS),
      bytes,
      count: this.refused,
    })
  }

  /**
   * Applies the registration of an endpoint.
   * @returns whether it may be acknowledged: a state other than ready only while this machine reaches a majority, which must
   * know of it, also after a restart.
   */
  async register(endpoint: RegisteredEndpoint): Promise<boolean> {
    if (endpoint.state === 'ready' && !this.isReplacement(endpoint) && this.versions?.hold(endpoint) === true)
      return true
    this.versions?.forget(endpoint.id)
    this.merge([endpoint])
    return endpoint.state === 'ready' || this.isDepartureKnown(endpoint)
  }

  /**
   * Records that an endpoint has left.
   * @param born when the leaving incarnation started, if the endpoint says so.
   * @returns whether it may be acknowledged, as for {@link register}.
   */
  async leave(name: string, born?: number): Promise<boolean> {
    const departed = this.options.directory.departureOf(name, born)
    this.versions?.forget(departed.id)
    this.merge([departed])
    return this.isDepartureKnown(departed)
  }

  /** Merges endpoints received from another control machine. */
  merge(records: RegisteredEndpoint[]): void {
    this.publish(this.options.directory.merge(records))
  }

  /** Whether an endpoint shows that another known process has ended, which others must hear of at once. */
  private isReplacement(endpoint: RegisteredEndpoint): boolean {
    const { directory } = this.options
    if (directory.get(endpoint.id) !== undefined) return true
    return directory
      .list()
      .some((one) => one.address === endpoint.address || nameOf(one) === nameOf(endpoint))
  }

  private async isDepartureKnown(departed: RegisteredEndpoint): Promise<boolean> {
    const { directory, isConnected, persist } = this.options
    // Checked first as well, so that a machine that is cut off asks nobody.
    if (!isConnected()) return false
    return (await persist(directory.get(departed.id) ?? departed)) && isConnected()
  }

  private publish(changed: RegisteredEndpoint[]): void {
    if (changed.length === 0) return
    logEndpoints(this.options.logger, changed)
    this.options.hub.notifyChange()
    this.options.onChange?.(changed)
  }
}

import type { Directory, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { WatchHub } from '@forkstage/watch'
import { logEndpoints } from './logEndpoints'

/** Options of {@link Registrar}. */
export interface RegistrarOptions {
  directory: Directory
  hub: WatchHub
  logger: Logger
  /** Resolves to whether a departure is on the disks of a majority of the control machines. */
  persist: (departed: RegisteredEndpoint) => Promise<boolean>
  /** Whether this machine is connected to a majority of the control machines. */
  isConnected: () => boolean
  /** Called with the endpoints that have changed. */
  onChange?: (changed: RegisteredEndpoint[]) => void
}

/** Bounds in the log the length of a name that a caller sends. */
const MAX_NAME_CHARS = 64

/** Applies registrations of endpoints and notifies followers at once. */
export class Registrar {
  /** Number of invalid registrations since the start. */
  refused = 0

  constructor(private readonly options: RegistrarOptions) {}

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
    this.merge([departed])
    return this.isDepartureKnown(departed)
  }

  /** Merges endpoints received from another control machine. */
  merge(records: RegisteredEndpoint[]): void {
    this.publish(this.options.directory.merge(records))
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

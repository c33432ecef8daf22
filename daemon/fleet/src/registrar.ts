import type { Directory, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { WatchHub } from '@forkstage/watch'
import { logEndpoints } from './logEndpoints'

/** Options of {@link Registrar}. */
export interface RegistrarOptions {
  directory: Directory
  hub: WatchHub
  logger: Logger
  /** Whether this machine is connected to a majority of the control machines. */
  isConnected: () => boolean
  /** Called after endpoints have changed, with these. */
  onChange?: (changed: RegisteredEndpoint[]) => void
}

/** A name comes from whoever calls; a line of the log must not. */
const MAX_NAME_CHARS = 64

/** Takes what endpoints say of themselves and passes it on at once. */
export class Registrar {
  /** Statements that could not be taken, since the start. */
  refused = 0

  constructor(private readonly options: RegistrarOptions) {}

  /** Notes a statement that says nothing of an endpoint to use; what is known of it holds. */
  recordRefused(name: string, bytes: number): void {
    this.refused += 1
    this.options.logger.warn('registration.refused', {
      endpoint: name.slice(0, MAX_NAME_CHARS),
      bytes,
      count: this.refused,
    })
  }

  /**
   * Takes what an endpoint says of itself.
   * @returns whether it may be acknowledged: that an endpoint leaves is only acknowledged by a machine that
   * reaches those who must know.
   */
  register(endpoint: RegisteredEndpoint): boolean {
    this.merge([endpoint])
    return endpoint.state === 'ready' || this.options.isConnected()
  }

  /**
   * Notes that an endpoint has left; says whether that may be acknowledged.
   * @param born the start of the life that says so, where it does.
   */
  leave(name: string, born?: number): boolean {
    this.publish(this.options.directory.markLeft(name, born))
    return this.options.isConnected()
  }

  /** Takes what another control machine knows. */
  merge(records: RegisteredEndpoint[]): void {
    this.publish(this.options.directory.merge(records))
  }

  private publish(changed: RegisteredEndpoint[]): void {
    if (changed.length === 0) return
    logEndpoints(this.options.logger, changed)
    this.options.hub.notifyChange()
    this.options.onChange?.(changed)
  }
}

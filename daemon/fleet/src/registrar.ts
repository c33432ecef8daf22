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
  /** Called after endpoints have changed. */
  onChange?: () => void
}

/** Takes what endpoints say of themselves and passes it on at once. */
export class Registrar {
  constructor(private readonly options: RegistrarOptions) {}

  /**
   * Takes what an endpoint says of itself.
   * @returns whether it may be acknowledged: that an endpoint leaves is only acknowledged by a machine that
   * reaches those who must know.
   */
  register(endpoint: RegisteredEndpoint): boolean {
    this.take([endpoint])
    return endpoint.state === 'ready' || this.options.isConnected()
  }

  /** Notes that an instance has left; says whether that may be acknowledged. */
  leave(id: string): boolean {
    this.note(this.options.directory.leave(id))
    return this.options.isConnected()
  }

  /** Takes what another control machine knows. */
  take(records: RegisteredEndpoint[]): void {
    this.note(this.options.directory.merge(records))
  }

  private note(news: RegisteredEndpoint[]): void {
    if (news.length === 0) return
    logEndpoints(this.options.logger, news)
    this.options.hub.noteChange()
    this.options.onChange?.()
  }
}

import type { Clock } from '@forkstage/clock'
import type { Ingress } from '@forkstage/gateway'
import type { Logger } from '@forkstage/logger'
import { DelayLog, DelayMonitor } from '@forkstage/overload'

/** Options of {@link EntryLoad}. */
export interface EntryLoadOptions {
  /** Returns the listener for callers, which is created after this. */
  ingress: () => Pick<Ingress, 'running' | 'connections' | 'unsentBytes'>
  clock: Clock
  logger: Logger
}

/** How loaded an entry is: the delay that it adds to its callers' requests by itself. */
export class EntryLoad {
  readonly delays: DelayMonitor

  constructor(options: EntryLoadOptions) {
    const { ingress, clock, logger } = options
    const running = () => ingress().running
    this.delays = new DelayMonitor({ clock, running, onCheck: () => log.update() })
    const log = new DelayLog({
      monitor: this.delays,
      running,
      connections: () => ingress().connections,
      unsentBytes: () => ingress().unsentBytes,
      clock,
      logger,
    })
  }

  stop(): void {
    this.delays.stop()
  }
}

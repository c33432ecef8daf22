import type { Clock } from '@forkstage/clock'
import type { Ingress } from '@forkstage/gateway'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import { AdmissionGate, DelayLog, DelayMonitor } from '@forkstage/overload'

const NOTICEABLE_DELAY_MS = 10

/** Options of {@link EntryLoad}. */
export interface EntryLoadOptions {
  /** Returns the listener for callers, which is created after this. */
  ingress: () => Pick<Ingress, 'running' | 'connections' | 'unsentBytes'>
  /** Returns the smallest target latency of the routes in force; undefined where there are none. */
  targetMs: () => Millis | undefined
  clock: Clock
  logger: Logger
}

/** How loaded an entry is: the delay that it adds to its callers' requests by itself, and how many it takes on. */
export class EntryLoad {
  readonly delays: DelayMonitor
  readonly gate: AdmissionGate
  private readonly log: DelayLog

  constructor(options: EntryLoadOptions) {
    const { ingress, targetMs, clock, logger } = options
    const running = () => ingress().running
    const monitor = new DelayMonitor({
      clock,
      idleMs: () => performance.eventLoopUtilization().idle,
      running,
      isDelayed: () => this.gate.isLimiting,
      onCheck: () => this.check(running()),
    })
    this.delays = monitor
    this.gate = new AdmissionGate({ monitor, targetMs, clock, logger })
    this.log = new DelayLog({
      monitor,
      gate: this.gate,
      running,
      connections: () => ingress().connections,
      unsentBytes: () => ingress().unsentBytes,
      clock,
      logger,
    })
  }

  /** Whether late answers and connects are most likely this entry's own doing. */
  get isDelayed(): boolean {
    return this.gate.isLimiting || this.delays.delayMs > NOTICEABLE_DELAY_MS
  }

  private check(running: number): void {
    this.gate.update(running)
    this.log.update()
  }

  stop(): void {
    this.delays.stop()
  }
}

import type { Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { AdmissionGate } from './admissionGate'
import type { DelayMonitor } from './delayMonitor'

/** Options of {@link DelayLog}. */
export interface DelayLogOptions {
  monitor: Pick<DelayMonitor, 'loopMs' | 'connectMs' | 'delayMs'>
  /** Returns the number of requests in progress. */
  running: () => number
  /** Returns the number of connections of callers. */
  connections: () => number
  /** Returns the number of bytes that wait to be sent to callers. */
  unsentBytes: () => number
  gate: Pick<AdmissionGate, 'limitValue' | 'closedCount' | 'refusedCount' | 'isLimiting'>
  clock: Clock
  logger: Logger
}

const LOG_EVERY_MS: Millis = 1_000
/** A smaller delay is not noticed by callers. */
const MIN_DELAY_MS: Millis = 10

/** Logs the load of an entry once a second while it delays its callers' requests or limits them. */
export class DelayLog {
  private loggedAt: Millis = -Infinity

  constructor(private readonly options: DelayLogOptions) {}

  /** Call it again and again while requests are in progress. */
  update(): void {
    const { monitor, gate, clock, logger } = this.options
    const now = clock.now()
    if (monitor.delayMs < MIN_DELAY_MS && !gate.isLimiting) return
    if (now - this.loggedAt < LOG_EVERY_MS) return
    this.loggedAt = now
    logger.warn('entry.delayed', {
      loopMs: Math.round(monitor.loopMs),
      connectMs: Math.round(monitor.connectMs),
      running: this.options.running(),
      connections: this.options.connections(),
      unsentBytes: this.options.unsentBytes(),
      limit: gate.isLimiting ? Math.round(gate.limitValue) : undefined,
      closed: gate.closedCount,
      refused: gate.refusedCount,
    })
  }
}

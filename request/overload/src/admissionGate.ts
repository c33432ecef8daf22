import type { Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import { AdmissionLimit } from './admissionLimit'
import type { DelayMonitor } from './delayMonitor'
import { maxOwnDelay } from './maxOwnDelay'

/** Options of {@link AdmissionGate}. */
export interface AdmissionGateOptions {
  monitor: Pick<DelayMonitor, 'loopMs' | 'connectMs' | 'linkMs'>
  /** Returns the smallest target latency of the routes in force; undefined where there are none. */
  targetMs?: () => Millis | undefined
  clock: Clock
  logger: Logger
}

/** An entry that takes clients must not go without a new connection for long. */
const ADMIT_ONE_EVERY_MS: Millis = 500
/** A standing queue of the link delays everything that passes it, several times for each request. */
const MAX_LINK_DELAY_MS: Millis = 15
/** Requests on open connections, which cannot be sent elsewhere unread, are refused beyond this multiple of the limit. */
const KEPT_FACTOR = 2

/**
 * Decides which connections and requests an entry takes on, by the delay that it adds to them by itself. A connection that is
 * closed before its request is read costs next to nothing, and its caller may retry elsewhere whatever the request is.
 */
export class AdmissionGate {
  private readonly limit = new AdmissionLimit()
  private admittedAt: Millis = -Infinity
  /** Connections that were closed before their requests were read. */
  closedCount = 0
  /** The longest that one of them may have waited to be accepted, since the limit was last imposed. */
  private closedWaitMs: Millis = 0
  /** Requests that were refused because of the limit. */
  refusedCount = 0

  constructor(private readonly options: AdmissionGateOptions) {}

  /** Limit on the requests in progress; Infinity while the entry keeps up. */
  get limitValue(): number {
    return this.limit.value
  }

  /** Whether the entry takes on fewer requests than come. */
  get isLimiting(): boolean {
    return this.limit.isLimiting
  }

  /** Adjusts the limit to the current delay. */
  update(running: number): void {
    const { monitor, clock, logger } = this.options
    const { loopMs, connectMs, linkMs } = monitor
    const wasLimiting = this.isLimiting
    const maxDelayMs = maxOwnDelay(this.options.targetMs?.())
    const isDelayed = linkMs > MAX_LINK_DELAY_MS || Math.max(loopMs, connectMs) > maxDelayMs
    this.limit.update({ now: clock.now(), isDelayed, running })
    if (this.isLimiting === wasLimiting) return
    if (wasLimiting)
      logger.info('entry.keeps_up', {
        running,
        closed: this.closedCount,
        waitedMs: Math.round(this.closedWaitMs),
        refused: this.refusedCount,
      })
    else {
      this.closedWaitMs = 0
      logger.warn('entry.overloaded', {
        loopMs: Math.round(monitor.loopMs),
        connectMs: Math.round(monitor.connectMs),
        linkMs: Math.round(linkMs),
        maxDelayMs: Math.round(maxDelayMs),
        running,
        limit: Math.round(this.limit.value),
      })
    }
  }

  /**
   * Whether a new connection is read, while so many requests are in progress; it is to be closed otherwise.
   * @param waitedMs how long it may have waited to be accepted.
   */
  allowsConnection(running: number, waitedMs: Millis = 0): boolean {
    const now = this.options.clock.now()
    if (this.limit.allows(running, now) || now - this.admittedAt >= ADMIT_ONE_EVERY_MS) {
      this.admittedAt = now
      return true
    }
    this.closedCount += 1
    this.closedWaitMs = Math.max(this.closedWaitMs, waitedMs)
    return false
  }

  /** Whether a further request on an open connection is taken on, while so many others are in progress. */
  allowsRequest(running: number): boolean {
    if (this.limit.allows(running / KEPT_FACTOR, this.options.clock.now())) return true
    this.refusedCount += 1
    return false
  }
}

import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import { ConnectBaseline } from './connectBaseline'
import { MinimumWindow } from './minimumWindow'

/** Options of {@link DelayMonitor}. */
export interface DelayMonitorOptions {
  clock: Clock
  /** Returns the number of requests in progress. */
  running: () => number
  /** Called after each check of the event loop. */
  onCheck?: () => void
}

const CHECK_EVERY_MS: Millis = 50
const SPAN_MS: Millis = 200
const MIN_CHECKS = 4
const MIN_CONNECTS = 3
/** An entry with fewer requests is not checked, which costs processor time. */
const MIN_RUNNING = 6

/** Measures the delay that this machine adds by itself, whatever the endpoints do. */
export class DelayMonitor {
  private readonly loop: MinimumWindow
  private readonly connects: MinimumWindow
  private readonly baseline: ConnectBaseline
  private cancelCheck: CancelTimer | undefined
  private isStopped = false

  constructor(private readonly options: DelayMonitorOptions) {
    const { clock } = options
    this.loop = new MinimumWindow(clock, SPAN_MS, MIN_CHECKS)
    this.connects = new MinimumWindow(clock, SPAN_MS, MIN_CONNECTS)
    this.baseline = new ConnectBaseline(clock)
  }

  /** How late the event loop has run its timers for a while. */
  get loopMs(): Millis {
    return this.loop.delayMs
  }

  /** By how much connects to endpoints have exceeded their shortest for a while: the queues of the link and of the event loop. */
  get connectMs(): Millis {
    return this.connects.delayMs
  }

  /** The larger of the two. */
  get delayMs(): Millis {
    return Math.max(this.loopMs, this.connectMs)
  }

  /** Records how long a direct connection to an endpoint took to open. */
  recordConnect(endpoint: Address, tookMs: Millis): void {
    this.connects.record(this.baseline.excessOf(endpoint, tookMs))
  }

  /** Checks the event loop for as long as enough requests are in progress. */
  watch(): void {
    if (this.cancelCheck !== undefined || this.isStopped || this.options.running() < MIN_RUNNING) return
    const { clock } = this.options
    const dueAt = clock.now() + CHECK_EVERY_MS
    this.cancelCheck = clock.after(CHECK_EVERY_MS, () => {
      this.cancelCheck = undefined
      this.loop.record(clock.now() - dueAt)
      this.options.onCheck?.()
      this.watch()
    })
  }

  stop(): void {
    this.isStopped = true
    this.cancelCheck?.()
  }
}

import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import { ConnectBaseline } from './connectBaseline'
import { MinimumWindow } from './minimumWindow'

/** Options of {@link DelayMonitor}. */
export interface DelayMonitorOptions {
  clock: Clock
  /** Returns how long the event loop has waited for events since the start of the process. */
  idleMs: () => Millis
  /** Returns the number of requests in progress. */
  running: () => number
  /** Whether this machine is known to delay its requests; otherwise connects without an answer say nothing of it. */
  isDelayed?: () => boolean
  /** Calls back in the next turn of the event loop, after it has read; default: `setImmediate`. */
  nextTurn?: (callback: () => void) => void
  /** Called after each check of the event loop. */
  onCheck?: () => void
}

const CHECK_EVERY_MS: Millis = 50
const SPAN_MS: Millis = 100
const MIN_CHECKS = 2
const MIN_IDLE_MS: Millis = 1
const MIN_TURNS = 1
const MIN_CONNECTS = 3
/** An entry with fewer requests is not checked, which costs processor time. */
const MIN_RUNNING = 6

/** Measures the delay that this machine adds by itself, whatever the endpoints do. */
export class DelayMonitor {
  private readonly loop: MinimumWindow
  private readonly turns: MinimumWindow
  private readonly connects: MinimumWindow
  private readonly baseline: ConnectBaseline
  private cancelCheck: CancelTimer | undefined
  private isStopped = false

  constructor(private readonly options: DelayMonitorOptions) {
    const { clock } = options
    this.loop = new MinimumWindow(clock, SPAN_MS, MIN_CHECKS)
    this.turns = new MinimumWindow(clock, SPAN_MS, MIN_TURNS)
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

  /** The part of {@link connectMs} that is the link's: the end of a connect waits for a turn of the event loop, too. */
  get linkMs(): Millis {
    return Math.max(0, this.connectMs - this.turns.delayMs)
  }

  /** The larger of the delays of the event loop and of connects. */
  get delayMs(): Millis {
    return Math.max(this.loopMs, this.connectMs)
  }

  /** Records how long a direct connection to an endpoint took to open. */
  recordConnect(endpoint: Address, tookMs: Millis): void {
    this.connects.record(this.baseline.excessOf(endpoint, tookMs))
  }

  /** Records a connect that got no answer for so long, while this machine is known to be delayed. */
  recordUnanswered(tookMs: Millis): void {
    if (this.options.isDelayed?.() === true) this.connects.record(tookMs)
  }

  /** Checks the event loop for as long as enough requests are in progress, or this machine is known to be delayed. */
  watch(): void {
    const { clock, running, isDelayed } = this.options
    const isWatched = running() >= MIN_RUNNING || isDelayed?.() === true
    if (this.cancelCheck !== undefined || this.isStopped || !isWatched) return
    const dueAt = clock.now() + CHECK_EVERY_MS
    const idleBefore = this.options.idleMs()
    this.cancelCheck = clock.after(CHECK_EVERY_MS, () => {
      this.cancelCheck = undefined
      // A loop that has waited for events has nothing queued, however late a timer is under a quota of processor time.
      const hasWaited = this.options.idleMs() - idleBefore > MIN_IDLE_MS
      this.loop.record(hasWaited ? 0 : clock.now() - dueAt)
      this.measureTurn()
      this.options.onCheck?.()
      this.watch()
    })
  }

  /** Measures one whole turn of the event loop, which does not wait for events meanwhile. */
  private measureTurn(): void {
    const { clock, nextTurn = setImmediate } = this.options
    nextTurn(() => {
      const startedAt = clock.now()
      nextTurn(() => this.turns.record(clock.now() - startedAt))
    })
  }

  stop(): void {
    this.isStopped = true
    this.cancelCheck?.()
  }
}

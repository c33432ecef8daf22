import type { Clock, ManualClock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

interface DueTimer {
  due: Millis
  callback: () => void
  isCancelled: boolean
}

/** The clock of one machine on a simulated one. While the machine is frozen, its timers wait. */
export class MachineClock implements Clock {
  isFrozen = false
  private frozenAt: Millis = 0
  /** How long this clock has stood still in suspensions. */
  private lagMs: Millis = 0
  private suspended: Millis = -Infinity
  private held: DueTimer[] = []

  constructor(private readonly base: ManualClock) {}

  now(): Millis {
    return this.base.now() - this.lagMs
  }

  suspendedAt(): Millis {
    return this.suspended
  }

  wallNow(): Millis {
    return this.base.now()
  }

  after(delayMs: Millis, callback: () => void): () => void {
    const timer = { due: this.now() + delayMs, callback, isCancelled: false }
    this.arm(timer)
    return () => void (timer.isCancelled = true)
  }

  freeze(): void {
    this.isFrozen = true
    this.frozenAt = this.base.now()
  }

  /**
   * Lets the machine run again.
   * @param isSuspension whether this clock stood still meanwhile and the machine notices it; otherwise only its timers are late.
   * @param first runs before any timer.
   */
  thaw(isSuspension: boolean, first: () => void): void {
    this.isFrozen = false
    if (isSuspension) {
      this.lagMs += this.base.now() - this.frozenAt
      this.suspended = this.now()
    }
    first()
    this.held.splice(0).forEach((timer) => this.fire(timer))
  }

  private arm(timer: DueTimer): void {
    this.base.after(Math.max(0, timer.due - this.now()), () => this.fire(timer))
  }

  private fire(timer: DueTimer): void {
    if (timer.isCancelled) return
    if (this.isFrozen) return void this.held.push(timer)
    if (timer.due > this.now()) return this.arm(timer)
    timer.callback()
  }
}

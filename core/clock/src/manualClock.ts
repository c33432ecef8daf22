import type { Millis } from '@forkstage/types'
import type { Clock } from './clock'

interface PendingTimer {
  due: Millis
  order: number
  callback: () => void
}

/** A clock that stands still until it is advanced; timers fire in the order they are due. */
export class ManualClock implements Clock {
  private time: Millis
  private suspended: Millis = -Infinity
  private order = 0
  private pending: PendingTimer[] = []

  constructor(start: Millis = 0) {
    this.time = start
  }

  now(): Millis {
    return this.time
  }

  suspendedAt(): Millis {
    return this.suspended
  }

  /** Simulates a suspension of the machine: no timer fires. */
  suspend(): void {
    this.time += 1
    this.suspended = this.time
  }

  wallNow(): number {
    return this.time
  }

  after(delay: Millis, callback: () => void): () => void {
    const entry: PendingTimer = { due: this.time + delay, order: this.order++, callback }
    this.pending.push(entry)
    return () => {
      this.pending = this.pending.filter((other) => other !== entry)
    }
  }

  /**
   * Advances the time and fires each timer that becomes due.
   * @throws what a timer has thrown, after all have fired; an AggregateError where several have.
   */
  advance(milliseconds: Millis): void {
    const end = this.time + milliseconds
    const errors: unknown[] = []
    for (let next = this.nextDue(end); next !== undefined; next = this.nextDue(end)) {
      this.pending = this.pending.filter((other) => other !== next)
      this.time = Math.max(this.time, next.due)
      try {
        next.callback()
      } catch (error) {
        errors.push(error)
      }
    }
    this.time = end
    if (errors.length > 1) throw new AggregateError(errors, `${errors.length} timers failed`)
    if (errors.length === 1) throw errors[0]
  }

  private nextDue(end: Millis): PendingTimer | undefined {
    return this.pending
      .filter((entry) => entry.due <= end)
      .sort((left, right) => left.due - right.due || left.order - right.order)[0]
  }
}

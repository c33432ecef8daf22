import type { Millis } from '@forkstage/types'

/** The maximum of the values that were recorded within the last span, or up to twice as long ago. */
export class RecentMaximum {
  private spanStartedAt: Millis = -Infinity
  private before = 0
  private current = 0

  constructor(private readonly spanMs: Millis) {}

  record(value: number, now: Millis): void {
    if (now - this.spanStartedAt >= this.spanMs) {
      this.before = now - this.spanStartedAt < this.spanMs * 2 ? this.current : 0
      this.current = 0
      this.spanStartedAt = now
    }
    this.current = Math.max(this.current, value)
  }

  /** Returns the maximum of the values that are recent at a time; undefined if none is. */
  valueAt(now: Millis): number | undefined {
    const age = now - this.spanStartedAt
    if (age >= this.spanMs * 2) return undefined
    return age < this.spanMs ? this.value : this.current
  }

  get value(): number {
    return Math.max(this.before, this.current)
  }
}

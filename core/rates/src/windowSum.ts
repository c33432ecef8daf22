import type { Millis } from '@forkstage/types'

/** Number of slots per window: amounts older than the window expire within a sixty-fourth of it. */
const SLOTS_PER_WINDOW = 64

/** The sum of the amounts added within a sliding window; too large by at most one slot, never too small. */
export class WindowSum {
  private readonly slots: { index: number; amount: number }[] = []
  private sum = 0

  constructor(private readonly windowMs: Millis) {}

  add(amount: number, now: Millis): void {
    this.dropExpired(now)
    const index = this.indexOf(now)
    const newest = this.slots.at(-1)
    if (newest?.index === index) newest.amount += amount
    else this.slots.push({ index, amount })
    this.sum += amount
  }

  /** Multiplies all amounts added so far by a factor. */
  scale(factor: number): void {
    for (const slot of this.slots) slot.amount *= factor
    this.sum *= factor
  }

  total(now: Millis): number {
    this.dropExpired(now)
    return this.sum
  }

  private indexOf(now: Millis): number {
    return Math.floor((now * SLOTS_PER_WINDOW) / this.windowMs)
  }

  private dropExpired(now: Millis): void {
    const oldest = this.indexOf(now - this.windowMs)
    while (this.slots.length > 0 && this.slots[0]!.index < oldest) this.sum -= this.slots.shift()!.amount
    // Removes rounding errors.
    if (this.slots.length === 0) this.sum = 0
  }
}

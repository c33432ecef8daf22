import type { Millis } from '@forkstage/types'

/** A sum in which what was added earlier counts less and less: the base of moving rates. */
export class DecayingSum {
  private sum = 0
  private startedAt: Millis | undefined
  private updatedAt: Millis = 0

  /** @param memoryMs after this time an amount counts for a third. */
  constructor(private readonly memoryMs: Millis) {}

  add(amount: number, now: Millis): void {
    this.startedAt ??= now
    this.decay(now)
    this.sum += amount
  }

  /** What is left of all amounts. */
  total(now: Millis): number {
    this.decay(now)
    return this.sum
  }

  /** How long amounts have been added, in milliseconds. */
  observedFor(now: Millis): Millis {
    return this.startedAt === undefined ? 0 : now - this.startedAt
  }

  /** The mean amount in a millisecond. */
  perMs(now: Millis): number {
    this.decay(now)
    const observed = Math.max(1, this.observedFor(now))
    return this.sum / (this.memoryMs * (1 - Math.exp(-observed / this.memoryMs)))
  }

  private decay(now: Millis): void {
    if (now <= this.updatedAt) return
    this.sum *= Math.exp(-(now - this.updatedAt) / this.memoryMs)
    this.updatedAt = now
  }
}

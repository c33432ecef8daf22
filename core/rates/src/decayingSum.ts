import type { Millis } from '@forkstage/types'

/** A sum in which amounts decay exponentially with their age; the basis of moving averages of rates. */
export class DecayingSum {
  private sum = 0
  private startedAt: Millis | undefined
  private updatedAt: Millis = 0

  /** @param memoryMs time constant: age at which an amount counts for a third (1/e), in milliseconds. */
  constructor(private readonly memoryMs: Millis) {}

  add(amount: number, now: Millis): void {
    this.startedAt ??= now
    this.decay(now)
    this.sum += amount
  }

  /** Returns the sum of the decayed amounts. */
  total(now: Millis): number {
    this.decay(now)
    return this.sum
  }

  /** Returns the time since the first amount was added, in milliseconds; 0 if there is none. */
  observedFor(now: Millis): Millis {
    return this.startedAt === undefined ? 0 : now - this.startedAt
  }

  /** Returns the average amount per millisecond. */
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

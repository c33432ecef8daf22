import type { Random } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link Ejection}. */
export interface EjectionOptions {
  /** Failures in a row after which an endpoint is ejected. */
  failures: number
  /** The first ejection's length; doubles with each that follows without a success. */
  firstMs: Millis
  longestMs: Millis
}

export const DEFAULT_EJECTION: EjectionOptions = { failures: 3, firstMs: 1_000, longestMs: 15_000 }

export type EjectionChange = { type: 'ejected'; forMs: Millis } | { type: 'restored' } | undefined

/** Excludes an endpoint that fails from placement, and readmits it after a single successful probe. Does no I/O. */
export class Ejection {
  private failuresInRow = 0
  private ejections = 0
  private until: Millis = -Infinity
  private probing = false

  constructor(private readonly options: EjectionOptions = DEFAULT_EJECTION) {}

  /** Whether new work may be sent to the endpoint: it is not ejected, or is due for its one probe. */
  isOpen(now: Millis): boolean {
    if (this.ejections === 0) return true
    return now >= this.until && !this.probing
  }

  /** Records that a request was sent; after an ejection that request is the probe. */
  recordSent(now: Millis): void {
    if (this.ejections > 0 && now >= this.until) this.probing = true
  }

  recordSuccess(): EjectionChange {
    const wasEjected = this.ejections > 0
    this.failuresInRow = 0
    this.ejections = 0
    this.probing = false
    return wasEjected ? { type: 'restored' } : undefined
  }

  recordFailure(now: Millis, random: Random): EjectionChange {
    this.failuresInRow += 1
    const failedProbe = this.probing
    this.probing = false
    if (!failedProbe && this.failuresInRow < this.options.failures) return undefined
    if (this.ejections > 0 && now < this.until) return undefined
    const forMs =
      Math.min(this.options.longestMs, this.options.firstMs * 2 ** this.ejections) * (0.75 + random() / 2)
    this.ejections += 1
    this.until = now + forMs
    this.failuresInRow = 0
    return { type: 'ejected', forMs }
  }
}

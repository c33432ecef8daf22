import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/**
 * The smallest of the recent samples of a delay. A standing queue delays every sample, a pause of the process or a lost
 * packet only some.
 */
export class MinimumWindow {
  private startedAt: Millis = -Infinity
  private current = newSpan()
  private previous = newSpan()

  /**
   * @param spanMs samples count for one to two spans.
   * @param minSamples with fewer samples there is no delay.
   */
  constructor(
    private readonly clock: Clock,
    private readonly spanMs: Millis,
    private readonly minSamples: number,
  ) {}

  record(delayMs: Millis): void {
    this.startSpan()
    this.current.count += 1
    this.current.minMs = Math.min(this.current.minMs, delayMs)
  }

  /** The smallest recent sample; 0 where there are too few. */
  get delayMs(): Millis {
    this.startSpan()
    if (this.current.count + this.previous.count < this.minSamples) return 0
    return Math.min(this.current.minMs, this.previous.minMs)
  }

  private startSpan(): void {
    const now = this.clock.now()
    const passedMs = now - this.startedAt
    if (passedMs < this.spanMs) return
    this.previous = passedMs < this.spanMs * 2 ? this.current : newSpan()
    this.current = newSpan()
    this.startedAt = now
  }
}

function newSpan(): { count: number; minMs: Millis } {
  return { count: 0, minMs: Infinity }
}

import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link QueueWait}. */
export interface QueueWaitOptions {
  clock: Clock
  /** Calls back after the event loop has had one more chance to accept a connection. */
  nextTurn: (callback: () => void) => void
}

/**
 * Bounds how long a connection has waited in the queue of its listener, which the process does not see: at most since the
 * event loop last accepted none, as it accepts one connection a turn.
 */
export class QueueWait {
  /** When connections began to come in each turn. */
  private since: Millis | undefined
  private hasAccepted = false

  constructor(private readonly options: QueueWaitOptions) {}

  /** Records that a connection was accepted. Returns the longest that it may have waited while connections came in each turn. */
  recordAccepted(): Millis {
    const now = this.options.clock.now()
    this.hasAccepted = true
    if (this.since !== undefined) return now - this.since
    this.since = now
    this.checkNextTurn()
    return 0
  }

  private checkNextTurn(): void {
    this.hasAccepted = false
    this.options.nextTurn(() => {
      if (this.hasAccepted) return this.checkNextTurn()
      this.since = undefined
    })
  }
}

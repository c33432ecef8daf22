import type { Millis } from '@forkstage/types'

/** When a stream's events came: the first, and the longest time between two. */
export class EventPauses {
  /** From the head of the request to the first event. */
  firstMs: Millis | undefined
  /** The longest time between two events. */
  longestMs: Millis | undefined
  private lastAt: Millis | undefined

  /** @param startedAt when the head of the request was there. */
  constructor(private readonly startedAt: Millis) {}

  /** How long nothing has come. */
  silentMs(now: Millis): Millis {
    return now - (this.lastAt ?? this.startedAt)
  }

  /** Notes that events have come. */
  recordEvents(now: Millis): void {
    this.firstMs ??= Math.round(now - this.startedAt)
    if (this.lastAt !== undefined)
      this.longestMs = Math.max(this.longestMs ?? 0, Math.round(now - this.lastAt))
    this.lastAt = now
  }
}

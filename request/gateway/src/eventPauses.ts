import type { Millis } from '@forkstage/types'

/** Tracks the time to the first event of a stream and the longest pause between events. */
export class EventPauses {
  /** Time from the request head to the first event; undefined before it. */
  firstMs: Millis | undefined
  /** The longest time between two events; undefined until there are two. */
  longestMs: Millis | undefined
  private lastAt: Millis | undefined

  /** @param startedAt when the request head arrived. */
  constructor(private readonly startedAt: Millis) {}

  /** Returns the time since the last event, or since the request head if there was none. */
  silentMs(now: Millis): Millis {
    return now - (this.lastAt ?? this.startedAt)
  }

  /** Records that events arrived. */
  recordEvents(now: Millis): void {
    this.firstMs ??= Math.round(now - this.startedAt)
    if (this.lastAt !== undefined)
      this.longestMs = Math.max(this.longestMs ?? 0, Math.round(now - this.lastAt))
    this.lastAt = now
  }
}

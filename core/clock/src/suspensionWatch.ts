import type { Millis } from '@forkstage/types'

/** The clocks that {@link SuspensionWatch} compares. */
export interface ComparedClocks {
  /** Never steps back, and stands still while the machine is suspended. */
  steady: () => Millis
  /** The time of day; counts what passes meanwhile, and is set now and then. */
  wall: () => Millis
  /** Since the machine's start, with what passed while it was suspended. */
  uptime: () => Millis
}

/** Set by a little again and again the time of day still keeps within this of the steady clock between two looks. */
const UNSEEN_MS: Millis = 100
/** An uptime that is the machine's own follows the steady clock this closely: it counts in hundredths of a second. */
const TRACKS_WITHIN_MS: Millis = 50
const LOOKS_UNTIL_TRUSTED = 5
/** Reading it opens a file. */
const UPTIME_EVERY_MS: Millis = 1_000

/**
 * Notices that time may have passed unseen: the time of day, or the uptime, has moved ahead of the steady clock since the
 * last look. A time of day that was set looks the same, so that what follows from it must cost little and lose nothing.
 */
export class SuspensionWatch {
  private wallAhead: Millis
  private uptimeAhead: Millis
  private uptimeAt: Millis
  /** How often in a row the uptime has followed the steady clock: where it is another machine's it does not. */
  private tracked = 0
  private at: Millis = -Infinity

  constructor(private readonly clocks: ComparedClocks) {
    const now = clocks.steady()
    this.wallAhead = clocks.wall() - now
    this.uptimeAhead = clocks.uptime() - now
    this.uptimeAt = now
  }

  /** When that was last noticed, by the steady clock; -Infinity where it never was. */
  suspendedAt(): Millis {
    const now = this.clocks.steady()
    // Both are looked at each time: what one shows now the other must not show once more a second later.
    const byWall = this.looksAtWall(now)
    const byUptime = this.looksAtUptime(now, byWall)
    if (byWall || byUptime) this.at = now
    return this.at
  }

  private looksAtWall(now: Millis): boolean {
    const ahead = this.clocks.wall() - now
    const passed = ahead - this.wallAhead
    this.wallAhead = ahead
    return passed > UNSEEN_MS
  }

  private looksAtUptime(now: Millis, isNoticed: boolean): boolean {
    if (!isNoticed && now - this.uptimeAt < UPTIME_EVERY_MS) return false
    this.uptimeAt = now
    const ahead = this.clocks.uptime() - now
    const passed = ahead - this.uptimeAhead
    this.uptimeAhead = ahead
    const isTrusted = this.tracked >= LOOKS_UNTIL_TRUSTED
    this.tracked = Math.abs(passed) <= TRACKS_WITHIN_MS ? this.tracked + 1 : 0
    return isTrusted && passed > UNSEEN_MS
  }
}

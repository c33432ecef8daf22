import type { Millis } from '@forkstage/types'

/** The clocks that {@link SuspensionDetector} compares. */
export interface ClockSources {
  /** Never steps back, and stands still while the machine is suspended. */
  monotonic: () => Millis
  /** The time of day; counts what passes meanwhile, and is set now and then. */
  wall: () => Millis
  /** Since the machine's start, with what passed while it was suspended. */
  uptime: () => Millis
}

/** Set by a little again and again the time of day still keeps within this of the steady clock between two looks. */
const MAX_DRIFT_MS: Millis = 100
/** An uptime that is the machine's own follows the steady clock this closely: it counts in hundredths of a second. */
const UPTIME_TOLERANCE_MS: Millis = 50
const CHECKS_UNTIL_TRUSTED = 5
/** Reading it opens a file. */
const UPTIME_CHECK_INTERVAL_MS: Millis = 1_000

/**
 * Notices that time may have passed unseen: the time of day, or the uptime, has moved ahead of the steady clock since the
 * last look. A time of day that was set looks the same, so that what follows from it must cost little and lose nothing.
 */
export class SuspensionDetector {
  private wallAhead: Millis
  private uptimeAhead: Millis
  private uptimeCheckedAt: Millis
  /** How often in a row the uptime has followed the steady clock: where it is another machine's it does not. */
  private matchingChecks = 0
  private detectedAt: Millis = -Infinity

  constructor(private readonly clocks: ClockSources) {
    const now = clocks.monotonic()
    this.wallAhead = clocks.wall() - now
    this.uptimeAhead = clocks.uptime() - now
    this.uptimeCheckedAt = now
  }

  /** When that was last noticed, by the steady clock; -Infinity where it never was. */
  suspendedAt(): Millis {
    const now = this.clocks.monotonic()
    // Both are looked at each time: what one shows now the other must not show once more a second later.
    const byWall = this.hasWallJumped(now)
    const byUptime = this.hasUptimeJumped(now, byWall)
    if (byWall || byUptime) this.detectedAt = now
    return this.detectedAt
  }

  private hasWallJumped(now: Millis): boolean {
    const ahead = this.clocks.wall() - now
    const passed = ahead - this.wallAhead
    this.wallAhead = ahead
    return passed > MAX_DRIFT_MS
  }

  private hasUptimeJumped(now: Millis, isDetected: boolean): boolean {
    if (!isDetected && now - this.uptimeCheckedAt < UPTIME_CHECK_INTERVAL_MS) return false
    this.uptimeCheckedAt = now
    const ahead = this.clocks.uptime() - now
    const passed = ahead - this.uptimeAhead
    this.uptimeAhead = ahead
    const isTrusted = this.matchingChecks >= CHECKS_UNTIL_TRUSTED
    this.matchingChecks = Math.abs(passed) <= UPTIME_TOLERANCE_MS ? this.matchingChecks + 1 : 0
    return isTrusted && passed > MAX_DRIFT_MS
  }
}

import type { Millis } from '@forkstage/types'

/** The clocks that {@link SuspensionDetector} compares. */
export interface ClockSources {
  /** Monotonic time; never goes back, and stands still while the machine is suspended. */
  monotonic: () => Millis
  /** Wall-clock time; includes suspensions, and may be set. */
  wall: () => Millis
  /** Time since the machine's start, including suspensions. */
  uptime: () => Millis
}

/** A larger drift between two checks counts as a suspension; a slewed wall clock stays below it. */
const MAX_DRIFT_MS: Millis = 100
/** Maximum drift of this machine's uptime from monotonic time between checks; it counts in hundredths of a second. */
const UPTIME_TOLERANCE_MS: Millis = 50
/** Number of consecutive matching checks after which the uptime counts as that of this machine. */
const CHECKS_UNTIL_TRUSTED = 5
/** Reading the uptime opens a file, so it is read less often than the wall clock. */
const UPTIME_CHECK_INTERVAL_MS: Millis = 1_000

/**
 * Detects that the machine may have been suspended: the wall clock or the uptime has moved ahead of monotonic time
 * since the last check. A wall clock that is set forward looks the same, so what a detection triggers must cost little
 * and lose nothing.
 */
export class SuspensionDetector {
  private wallAhead: Millis
  private uptimeAhead: Millis
  private uptimeCheckedAt: Millis
  /** Consecutive checks in which the uptime matched monotonic time; another machine's uptime does not match. */
  private matchingChecks = 0
  private detectedAt: Millis = -Infinity

  constructor(private readonly clocks: ClockSources) {
    const now = clocks.monotonic()
    this.wallAhead = clocks.wall() - now
    this.uptimeAhead = clocks.uptime() - now
    this.uptimeCheckedAt = now
  }

  /** Checks the clocks; returns the monotonic time of the last detection, or -Infinity if there was none. */
  suspendedAt(): Millis {
    const now = this.clocks.monotonic()
    // Both are always checked, so that the second one does not report the same suspension again later.
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

import { uptime } from 'node:os'
import type { Millis } from '@forkstage/types'
import { SuspensionDetector } from './suspensionDetector'

/** Cancels a timer that has not fired yet. */
export type CancelTimer = () => void

/** Time as the program sees it. Injected, so that tests decide what time it is. */
export interface Clock {
  /** Monotonic milliseconds; never steps back, also when the wall clock is set. */
  now(): Millis
  /**
   * When this machine may last have been suspended: time passed that {@link now} does not count. What somebody promised
   * before may not hold any more, and is to be asked for anew; -Infinity where nothing was noticed.
   */
  suspendedAt(): Millis
  /** Wall-clock milliseconds since 1970, for display and retention only. */
  wallNow(): number
  /** Calls back once after the delay. */
  after(delay: Millis, callback: () => void): CancelTimer
}

const SECOND_MS = 1_000

/** The clock of the operating system. */
export function createSystemClock(): Clock {
  const monotonic = () => performance.now()
  const wall = () => Date.now()
  const detector = new SuspensionDetector({ monotonic, wall, uptime: () => uptime() * SECOND_MS })
  return {
    now: monotonic,
    suspendedAt: () => detector.suspendedAt(),
    wallNow: wall,
    after(delay, callback) {
      const timer = setTimeout(callback, delay)
      return () => clearTimeout(timer)
    },
  }
}

/** Calls back again and again until cancelled; the next delay starts when the callback returns. */
export function every(clock: Clock, interval: Millis, callback: () => void): CancelTimer {
  let cancel: CancelTimer = () => undefined
  let stopped = false
  const arm = () => {
    cancel = clock.after(interval, () => {
      callback()
      if (!stopped) arm()
    })
  }
  arm()
  return () => {
    stopped = true
    cancel()
  }
}

/** Resolves after the delay on the given clock. */
export function delay(clock: Clock, milliseconds: Millis): Promise<void> {
  return new Promise((resolve) => clock.after(milliseconds, resolve))
}

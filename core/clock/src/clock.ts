import { uptime } from 'node:os'
import type { Millis } from '@forkstage/types'
import { SuspensionDetector } from './suspensionDetector'

/** Cancels a timer that has not fired yet. */
export type CancelTimer = () => void

/** The source of time, injected so that tests control it. */
export interface Clock {
  /** Monotonic milliseconds; never goes back, even if the wall clock is set. */
  now(): Millis
  /**
   * Returns when a possible suspension of this machine, during which {@link now} stood still, was last detected;
   * -Infinity if none was. Leases and other promises with a deadline that were received before may have expired
   * and must be renewed.
   */
  suspendedAt(): Millis
  /** Wall-clock milliseconds since 1970, for display and retention only. */
  wallNow(): number
  /** Calls back once after the delay; returns a function that cancels the timer. */
  after(delay: Millis, callback: () => void): CancelTimer
}

const SECOND_MS = 1_000

/** Returns the clock of the operating system. */
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

/**
 * Calls back repeatedly until cancelled; the next delay starts when the callback returns or throws. What it throws is
 * thrown on to the clock.
 */
export function every(clock: Clock, interval: Millis, callback: () => void): CancelTimer {
  let cancel: CancelTimer = () => undefined
  let stopped = false
  const arm = () => {
    cancel = clock.after(interval, () => {
      try {
        callback()
      } finally {
        if (!stopped) arm()
      }
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

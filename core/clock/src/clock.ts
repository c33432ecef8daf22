import type { Millis } from '@forkstage/types'

/** Cancels a timer that has not fired yet. */
export type CancelTimer = () => void

/** Time as the program sees it. Injected, so that tests decide what time it is. */
export interface Clock {
  /** Monotonic milliseconds; never steps back, also when the wall clock is set. */
  now(): Millis
  /** Wall-clock milliseconds since 1970, for display and retention only. */
  wallNow(): number
  /** Calls back once after the delay. */
  after(delay: Millis, callback: () => void): CancelTimer
}

/** The clock of the operating system. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
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

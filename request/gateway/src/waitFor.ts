import { delay, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

const POLL_INTERVAL_MS = 10

/** Polls `find` until it returns a value or the limit has passed; returns that value or undefined. */
export async function waitFor<Value>(
  clock: Clock,
  limitMs: Millis,
  find: () => Value | undefined,
): Promise<Value | undefined> {
  const end = clock.now() + limitMs
  for (;;) {
    const found = find()
    if (found !== undefined || clock.now() >= end) return found
    await delay(clock, Math.min(POLL_INTERVAL_MS, end - clock.now()))
  }
}

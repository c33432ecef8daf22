import { delay, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

const LOOK_EVERY_MS = 10

/** Waits until something is there, up to a limit; returns it, or undefined where it did not come. */
export async function waitFor<Thing>(
  clock: Clock,
  limitMs: Millis,
  find: () => Thing | undefined,
): Promise<Thing | undefined> {
  const end = clock.now() + limitMs
  for (;;) {
    const found = find()
    if (found !== undefined || clock.now() >= end) return found
    await delay(clock, Math.min(LOOK_EVERY_MS, end - clock.now()))
  }
}

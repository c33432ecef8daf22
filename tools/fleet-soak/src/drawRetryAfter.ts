import type { Random } from '@forkstage/clock'

/** What an endpoint says of rest with a refusal. */
export interface RetryAfterSignal {
  /** The value of its time to come back as it is now; undefined where it says none. */
  value: () => string | undefined
  /** How long it wants nothing for; 0 where it says nothing that can be read. */
  forMs: number
}

const SECOND_MS = 1_000
const signal = (text: string | undefined, forMs = 0): RetryAfterSignal => ({ value: () => text, forMs })
/** A date has whole seconds: it may be cut by almost one. */
const inTwoSeconds: RetryAfterSignal = {
  value: () => new Date(Date.now() + 2 * SECOND_MS).toUTCString(),
  forMs: SECOND_MS,
}
const SIGNALS = [
  signal('4', 4 * SECOND_MS),
  signal('3', 3 * SECOND_MS),
  signal('2.5', 2.5 * SECOND_MS),
  signal('2', 2 * SECOND_MS),
  signal('1.5', 1.5 * SECOND_MS),
  signal('0.2', 200),
  signal('0'),
  signal('soon'),
  signal('-1'),
  signal(undefined),
  inTwoSeconds,
]

/** Draws what an endpoint says of rest while it refuses: long, short, as a date, broken or nothing. */
export function drawRetryAfter(random: Random): RetryAfterSignal {
  return SIGNALS[Math.floor(random() * SIGNALS.length)]!
}

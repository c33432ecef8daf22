import type { Random } from '@forkstage/clock'

/** The `Retry-After` header of a refusal. */
export interface RetryAfterSignal {
  /** Returns the current value of the header; undefined when the refusal has none. */
  value: () => string | undefined
  /** Backoff in milliseconds; 0 when the value is missing or invalid. */
  forMs: number
}

const SECOND_MS = 1_000
const signal = (text: string | undefined, forMs = 0): RetryAfterSignal => ({ value: () => text, forMs })
/** An HTTP date has whole seconds, so it may lose almost one. */
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

/** Draws the `Retry-After` of a refusing endpoint: long, short, a date, invalid or none. */
export function drawRetryAfter(random: Random): RetryAfterSignal {
  return SIGNALS[Math.floor(random() * SIGNALS.length)]!
}

import type { Random } from '@forkstage/clock'

/** What an endpoint says of rest with a refusal. */
export interface RestWord {
  /** The value of its time to come back as it is now; undefined where it says none. */
  value: () => string | undefined
  /** How long it wants nothing for; 0 where it says nothing that can be read. */
  forMs: number
}

const SECOND_MS = 1_000
const word = (text: string | undefined, forMs = 0): RestWord => ({ value: () => text, forMs })
/** A date has whole seconds: it may be cut by almost one. */
const inTwoSeconds: RestWord = {
  value: () => new Date(Date.now() + 2 * SECOND_MS).toUTCString(),
  forMs: SECOND_MS,
}
const WORDS = [
  word('4', 4 * SECOND_MS),
  word('3', 3 * SECOND_MS),
  word('2.5', 2.5 * SECOND_MS),
  word('2', 2 * SECOND_MS),
  word('1.5', 1.5 * SECOND_MS),
  word('0.2', 200),
  word('0'),
  word('soon'),
  word('-1'),
  word(undefined),
  inTwoSeconds,
]

/** Draws what an endpoint says of rest while it refuses: long, short, as a date, broken or nothing. */
export function drawRest(random: Random): RestWord {
  return WORDS[Math.floor(random() * WORDS.length)]!
}

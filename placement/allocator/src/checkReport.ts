import type { ReportedHold } from './allocatorTypes'

/** The clocks of an entry and its leader differ in rate by less than this factor, so no age exceeds another by more. */
const MAX_CLOCK_RATIO = 1.01

/** Factor by which reported tokens may exceed the maximum: an event holds several, and the last one counts as full. */
const MAX_TOKEN_RATIO = 2

/** Returns why an entry's report of a hold is implausible; undefined if it is plausible. */
export function checkReport({ ask, ageMs, decodingForMs, madeTokens }: ReportedHold): string | undefined {
  if (!isTime(ageMs)) return 'the age of the hold is not a valid duration'
  if (decodingForMs !== undefined && !isTime(decodingForMs))
    return 'the decoding time is not a valid duration'
  if ((decodingForMs ?? 0) > ageMs * MAX_CLOCK_RATIO + 1) return 'decoding began before the placement'
  if (madeTokens === undefined) return undefined
  const isCount = Number.isFinite(madeTokens) && madeTokens >= 0
  if (!isCount) return 'the number of generated tokens is not a valid count'
  return madeTokens > ask.mostTokens * MAX_TOKEN_RATIO
    ? 'more tokens were generated than requested'
    : undefined
}

function isTime(milliseconds: number): boolean {
  return Number.isFinite(milliseconds) && milliseconds >= 0
}

import type { ReportedHold } from './allocatorTypes'

/** An entry's clock and its leader's differ in pace by less than this share, so that no age exceeds another by more. */
const CLOCKS_DIFFER = 1.01

/** An event holds several tokens, and the last one may be full where the answer is not. */
const MOST_EXCEEDED = 2

/** Why what an entry says of a running request cannot be; undefined where it can. */
export function whyNoReport({ ask, ageMs, decodingForMs, madeTokens }: ReportedHold): string | undefined {
  if (!isTime(ageMs)) return 'the age of the place is no time that has passed'
  if (decodingForMs !== undefined && !isTime(decodingForMs))
    return 'the time of decoding is none that has passed'
  if ((decodingForMs ?? 0) > ageMs * CLOCKS_DIFFER + 1) return 'it decodes for longer than it has its place'
  if (madeTokens === undefined) return undefined
  const isCount = Number.isFinite(madeTokens) && madeTokens >= 0
  if (!isCount) return 'the tokens made are no count'
  return madeTokens > ask.mostTokens * MOST_EXCEEDED
    ? 'it has made more tokens than were asked for'
    : undefined
}

function isTime(milliseconds: number): boolean {
  return Number.isFinite(milliseconds) && milliseconds >= 0
}

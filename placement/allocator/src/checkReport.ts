import type { ReportedHold } from './allocatorTypes'

/** An entry's clock and its leader's differ in pace by less than this share, so that no age exceeds another by more. */
const MAX_CLOCK_RATIO = 1.01

/** An event holds several tokens, and the last one may be full where the answer is not. */
const MAX_TOKEN_RATIO = 2

/** Why what an entry says of a running request cannot be; undefined where it can. */
export function checkReport({ ask, ageMs, decodingForMs, madeTokens }: ReportedHold): string | undefined {
  if (!isTime(ageMs)) return 'the age of the place is no time that has passed'
  if (decodingForMs !== undefined && !isTime(decodingForMs))
    return 'the time of decoding is none that has passed'
  if ((decodingForMs ?? 0) > ageMs * MAX_CLOCK_RATIO + 1) return 'it decodes for longer than it has its place'
  if (madeTokens === undefined) return undefined
  const isCount = Number.isFinite(madeTokens) && madeTokens >= 0
  if (!isCount) return 'the tokens made are no count'
  return madeTokens > ask.mostTokens * MAX_TOKEN_RATIO
    ? 'it has made more tokens than were asked for'
    : undefined
}

function isTime(milliseconds: number): boolean {
  return Number.isFinite(milliseconds) && milliseconds >= 0
}

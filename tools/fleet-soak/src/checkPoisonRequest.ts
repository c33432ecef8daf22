/** Arrivals of one poison request, which crashes every endpoint that runs it, at all stand-ins. */
export interface PoisonArrivals {
  /** Unix milliseconds, ascending. Each arrival crashed its endpoint. */
  at: number[]
}

/** Prefix of the last path segment of a poison request; its kind follows. */
export const POISON_PREFIX = 'fatal-'
const CRASHES_UNTIL_REFUSED = 3
/** Allows for requests in flight and for machines that have just restarted. */
const SETTLING_MS = 3_000
const MAX_LATER_ARRIVALS = 3

/** Checks that a poison request reaches at most 3 endpoints later than 3 s after its third crash; returns the violations. */
export function checkPoisonRequest({ at }: PoisonArrivals): string[] {
  const third = at[CRASHES_UNTIL_REFUSED - 1]
  if (third === undefined) return []
  const later = at.filter((one) => one > third + SETTLING_MS).length
  return later > MAX_LATER_ARRIVALS
    ? [`a poison request that had crashed ${CRASHES_UNTIL_REFUSED} endpoints reached ${later} more`]
    : []
}

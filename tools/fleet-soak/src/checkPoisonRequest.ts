/** Arrivals of a request that ends each endpoint that runs it, over all stand-ins, in the order of time. */
export interface PoisonArrivals {
  /** Unix milliseconds. Each of them ended its endpoint. */
  at: number[]
}

/** How the last part of the path of such a request begins; its kind follows. */
export const POISON_PREFIX = 'fatal-'
const CRASHES_UNTIL_REFUSED = 3
/** For what was on its way, and machines that have just come back. */
const SETTLING_MS = 3_000
const MAX_LATER_ARRIVALS = 3

/** What does not hold: later than some seconds after it has ended three endpoints, it reaches at most three more. */
export function checkPoisonRequest({ at }: PoisonArrivals): string[] {
  const third = at[CRASHES_UNTIL_REFUSED - 1]
  if (third === undefined) return []
  const later = at.filter((one) => one > third + SETTLING_MS).length
  return later > MAX_LATER_ARRIVALS
    ? [`a request that had ended ${CRASHES_UNTIL_REFUSED} endpoints reached ${later} more`]
    : []
}

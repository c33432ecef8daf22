/** Arrivals of a request that ends each endpoint that runs it, over all stand-ins, in the order of time. */
export interface FatalArrivals {
  /** Unix milliseconds. Each of them ended its endpoint. */
  at: number[]
}

/** How the last part of the path of such a request begins; its kind follows. */
export const FATAL = 'fatal-'
const ENDS_UNTIL_REFUSED = 3
/** For what was on its way, and machines that have just come back. */
const SETTLES_MS = 3_000
const MOST_LATER = 3

/** What does not hold: later than some seconds after it has ended three endpoints, it reaches at most three more. */
export function checkFatal({ at }: FatalArrivals): string[] {
  const third = at[ENDS_UNTIL_REFUSED - 1]
  if (third === undefined) return []
  const later = at.filter((one) => one > third + SETTLES_MS).length
  return later > MOST_LATER
    ? [`a request that had ended ${ENDS_UNTIL_REFUSED} endpoints reached ${later} more`]
    : []
}

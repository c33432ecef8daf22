/** Standard deviations of the draws that the total must hold beside their mean: 3 in 100,000 draws exceed it. */
const DEVIATIONS = 4
/** The largest variance of one entry's draw. */
const MAX_DRAW_VARIANCE = 0.25

/**
 * Returns how many requests each entry may send on average, so that the sum of all entries stays within the total.
 * Entries do not coordinate: each rounds its share to whole requests by a random draw of its own.
 * @param total requests of all entries together.
 */
export function perEntryShare(total: number, entries: number): number {
  const whole = Math.floor(total)
  const count = Math.max(1, entries)
  // The standard deviation of the sum is the root of its variance, which is below its mean and below a quarter for each
  // entry.
  const byEntryCount = whole - DEVIATIONS * Math.sqrt(count * MAX_DRAW_VARIANCE)
  const root = (Math.sqrt(DEVIATIONS ** 2 + 4 * whole) - DEVIATIONS) / 2
  return Math.max(0, byEntryCount, root ** 2) / count
}

/** How many standard deviations of the draws the part must hold beside their mean: 3 in 100,000 draws exceed it. */
const DEVIATIONS = 4
/** The largest deviation of one entry's draw. */
const MAX_DRAW_VARIANCE = 0.25

/**
 * Requests that each of so many entries may send on average, so that their sum stays within a part although they
 * draw by themselves: whole requests are sure, and the rest of one is drawn.
 * @param total requests of all entries together.
 */
export function perEntryShare(total: number, entries: number): number {
  const whole = Math.floor(total)
  const count = Math.max(1, entries)
  // The sum of draws deviates by the root of its variance, which is below its mean and below a quarter for each entry.
  const byEntryCount = whole - DEVIATIONS * Math.sqrt(count * MAX_DRAW_VARIANCE)
  const root = (Math.sqrt(DEVIATIONS ** 2 + 4 * whole) - DEVIATIONS) / 2
  return Math.max(0, byEntryCount, root ** 2) / count
}

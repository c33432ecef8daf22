/** A running answer: what it holds now and how many tokens are still to come, at one token a step. */
export interface GrowingAnswer {
  held: number
  remaining: number
}

/**
 * The most memory, in tokens, that a set of answers comes to hold: all grow alike, and each frees what it
 * holds when it ends, so that the peak lies just before one of the ends.
 */
export function peakMemory(answers: GrowingAnswer[]): number {
  const byEnd = [...answers].sort((left, right) => left.remaining - right.remaining)
  let held = byEnd.reduce((sum, answer) => sum + answer.held, 0)
  let peak = held
  byEnd.forEach((answer, position) => {
    const running = byEnd.length - position
    peak = Math.max(peak, held + running * answer.remaining)
    held -= answer.held
  })
  return peak
}

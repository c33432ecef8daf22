/** A running answer: the tokens that it holds now, and those that are still to be generated, one per step. */
export interface GrowingAnswer {
  held: number
  remaining: number
}

/**
 * Returns the peak memory of a set of answers, in tokens. All grow by one token per step, and each frees its memory
 * when it ends, so the peak lies just before one of the ends.
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

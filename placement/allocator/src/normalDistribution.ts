/** The share of a normal distribution below a value (Abramowitz and Stegun 26.2.17, error below 1e-7). */
export function normalCdf(value: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(value))
  const series =
    t * (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))))
  const tail = (Math.exp(-(value ** 2) / 2) / Math.sqrt(2 * Math.PI)) * series
  return value >= 0 ? 1 - tail : tail
}

/** The value below which a share of a normal distribution lies (Abramowitz and Stegun 26.2.23, error below 5e-4). */
export function normalQuantile(share: number): number {
  if (share > 0.5) return -normalQuantile(1 - share)
  const t = Math.sqrt(-2 * Math.log(Math.max(share, 1e-12)))
  const above = 2.515517 + t * (0.802853 + t * 0.010328)
  const below = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308))
  return above / below - t
}

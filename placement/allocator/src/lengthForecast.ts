import { normalCdf, normalQuantile } from './normalDistribution'

/** Prediction of an answer's length before it runs. */
export interface LengthPrior {
  /** Mean of the logarithm of the length in tokens. */
  mu: number
  /** Standard deviation of the logarithm. */
  sigma: number
}

/** The prior counts as this many answers, so that the first few do not decide alone. */
const PRIOR_WEIGHT = 8
const PRIOR_SLOPE = 0.7
const PRIOR_SIGMA = 0.5
const PRIOR_SHARE_OF_MAX = 0.35
const MIN_SIGMA = 0.1
/** Decay per answer: about the last two hundred decide. */
const DECAY = 0.995

/**
 * Learns per class how an answer's length depends on the caller's hint: a line through the logarithms, with the
 * spread around it. A hint is right in the median and often far off, so the line lies between the hint and the mean
 * of the class.
 */
export class LengthForecast {
  private readonly classes = new Map<string, Sums>()

  /** Predicts the length of an answer. */
  predict(className: string, hint: number | undefined, maxTokens: number): LengthPrior {
    const sums = this.classes.get(className)
    if (sums === undefined) return priorPrediction(hint, maxTokens)
    const { slope, meanX, meanY, sigma } = fit(sums)
    if (hint === undefined) return { mu: meanY, sigma: deviationOf(sums) }
    return { mu: meanY + slope * (Math.log(Math.max(1, hint)) - meanX), sigma }
  }

  /** Learns from a complete answer. */
  learn(className: string, hint: number | undefined, tokens: number): void {
    const y = Math.log(Math.max(1, tokens))
    const x = hint === undefined ? y : Math.log(Math.max(1, hint))
    const sums = this.classes.get(className) ?? { n: 0, x: 0, y: 0, xx: 0, xy: 0, yy: 0 }
    this.classes.set(className, {
      n: sums.n * DECAY + 1,
      x: sums.x * DECAY + x,
      y: sums.y * DECAY + y,
      xx: sums.xx * DECAY + x * x,
      xy: sums.xy * DECAY + x * y,
      yy: sums.yy * DECAY + y * y,
    })
  }
}

interface Sums {
  n: number
  x: number
  y: number
  xx: number
  xy: number
  yy: number
}

function priorPrediction(hint: number | undefined, maxTokens: number): LengthPrior {
  const guess = Math.log(Math.max(1, maxTokens * PRIOR_SHARE_OF_MAX))
  if (hint === undefined) return { mu: guess, sigma: 1 }
  return { mu: guess + PRIOR_SLOPE * (Math.log(Math.max(1, hint)) - guess), sigma: PRIOR_SIGMA }
}

function fit(sums: Sums): { slope: number; meanX: number; meanY: number; sigma: number } {
  const meanX = sums.x / sums.n
  const meanY = sums.y / sums.n
  const varianceX = Math.max(1e-6, sums.xx / sums.n - meanX ** 2)
  const varianceY = Math.max(0, sums.yy / sums.n - meanY ** 2)
  const covariance = sums.xy / sums.n - meanX * meanY
  const weight = sums.n / (sums.n + PRIOR_WEIGHT)
  const slope = weight * (covariance / varianceX) + (1 - weight) * PRIOR_SLOPE
  const residual = varianceY - 2 * slope * covariance + slope ** 2 * varianceX
  const variance = weight * Math.max(0, residual) + (1 - weight) * PRIOR_SIGMA ** 2
  return { slope, meanX, meanY, sigma: Math.max(MIN_SIGMA, Math.sqrt(variance)) }
}

function deviationOf(sums: Sums): number {
  const meanY = sums.y / sums.n
  return Math.max(MIN_SIGMA, Math.sqrt(Math.max(0, sums.yy / sums.n - meanY ** 2)))
}

/** Returns the length, in tokens, below which an answer with `made` tokens so far stays with the given probability. */
export function lengthQuantile(
  prior: LengthPrior,
  made: number,
  maxTokens: number,
  probability: number,
): number {
  const passed = made < 1 ? 0 : normalCdf((Math.log(made) - prior.mu) / prior.sigma)
  const level = passed + (1 - passed) * probability
  if (level >= 0.9999) return Math.min(maxTokens, made * 1.3 + 1)
  const length = Math.exp(prior.mu + prior.sigma * normalQuantile(level))
  return Math.min(maxTokens, Math.max(length, made + 1))
}

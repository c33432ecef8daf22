/** How much one new answer changes the forecast, as a share of it. */
const LEARNING_RATE = 0.05
/** The quantile of answer lengths that memory is reserved for. */
const QUANTILE = 0.9
const INITIAL_FORECAST_TOKENS = 64

/** Learns the lengths of answers by class: tracks a high quantile, one step for each answer. */
export class OutputForecast {
  private readonly forecasts = new Map<string, number>()

  /** The expected length of an answer of a class, in tokens, never above the caller's own limit. */
  expect(className: string, maxTokens: number): number {
    return Math.min(this.forecasts.get(className) ?? INITIAL_FORECAST_TOKENS, maxTokens)
  }

  learn(className: string, tokens: number): void {
    const old = this.forecasts.get(className)
    if (old === undefined) return void this.forecasts.set(className, tokens)
    const step = Math.max(1, old) * LEARNING_RATE
    const moved = tokens > old ? old + step * (QUANTILE / (1 - QUANTILE)) : old - step
    this.forecasts.set(
      className,
      Math.max(1, tokens > old ? Math.min(moved, tokens) : Math.max(moved, tokens)),
    )
  }
}

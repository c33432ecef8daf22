/** How many retries may accumulate while nothing fails. */
const MAX_SAVED_RETRIES = 20

/** Limits retries to a share of first tries, so that retries do not overload a failing pool. */
export class RetryBudget {
  private saved: number

  /** @param share retries allowed for each first try. */
  constructor(private readonly share: number) {
    this.saved = share > 0 ? MAX_SAVED_RETRIES / 2 : 0
  }

  recordFirstTry(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + this.share)
  }

  /** Takes one retry out of the budget. @returns false if there is none. */
  tryConsume(): boolean {
    if (this.saved < 1) return false
    this.saved -= 1
    return true
  }
}

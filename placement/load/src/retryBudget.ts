/** How many retries may be saved up while nothing fails. */
const MAX_SAVED_RETRIES = 20

/** Lets retries through as a share of first tries, so that a pool that fails is not stormed. */
export class RetryBudget {
  private saved: number

  constructor(private readonly share: number) {
    this.saved = share > 0 ? MAX_SAVED_RETRIES / 2 : 0
  }

  recordFirstTry(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + this.share)
  }

  /** Takes one retry out of the budget, if there is one. */
  tryConsume(): boolean {
    if (this.saved < 1) return false
    this.saved -= 1
    return true
  }
}

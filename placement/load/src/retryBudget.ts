/** How many retries may be saved up while nothing fails. */
const MOST_SAVED = 20

/** Lets retries through as a share of first tries, so that a pool that fails is not stormed. */
export class RetryBudget {
  private saved: number

  constructor(private readonly share: number) {
    this.saved = share > 0 ? MOST_SAVED / 2 : 0
  }

  noteFirstTry(): void {
    this.saved = Math.min(MOST_SAVED, this.saved + this.share)
  }

  /** Takes one retry out of the budget, if there is one. */
  take(): boolean {
    if (this.saved < 1) return false
    this.saved -= 1
    return true
  }
}

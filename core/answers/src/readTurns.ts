/** Runs callbacks one by one, each in a turn of the event loop of its own. */
export class ReadTurns {
  private readonly waiting = new Set<() => void>()
  private isScheduled = false

  /** Runs a callback in one of the next turns; once, however often it is added before. */
  add(callback: () => void): void {
    this.waiting.add(callback)
    this.schedule()
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return
    this.isScheduled = true
    setImmediate(() => this.run())
  }

  private run(): void {
    this.isScheduled = false
    const [next] = this.waiting
    if (next !== undefined) this.waiting.delete(next)
    this.schedule()
    next?.()
  }
}

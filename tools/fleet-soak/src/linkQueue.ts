/** One direction of a link with a fixed bandwidth; bytes pass one after the other. */
export class LinkQueue {
  private freeAt = 0

  /** @param now returns monotonic milliseconds. */
  constructor(
    private readonly bytesPerMs: number,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Adds bytes to the queue. Returns the milliseconds until the last one has passed. */
  add(bytes: number): number {
    const now = this.now()
    this.freeAt = Math.max(now, this.freeAt) + bytes / this.bytesPerMs
    return this.freeAt - now
  }
}

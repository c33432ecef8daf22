/** Smaller pieces are copied together, since each buffer takes some hundred bytes beside its content. */
const SMALL_PIECE_BYTES = 1_024
const MAX_BLOCK_BYTES = 64 * 1024

/** Collects bytes in few buffers, however small the pieces are in which they arrive. */
export class ByteCollector {
  private readonly complete: Buffer[] = []
  private block: Buffer = Buffer.alloc(0)
  /** Where the bytes of the block begin that are not yet among the complete parts. */
  private start = 0
  private used = 0
  private total = 0

  /** Number of collected bytes. */
  get size(): number {
    return this.total
  }

  /** The collected bytes in order, without a copy. */
  get parts(): Buffer[] {
    this.completePart()
    return this.complete
  }

  /** Returns the collected bytes in one buffer; without a copy if they arrived in one piece. */
  toBuffer(): Buffer {
    const { parts } = this
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
  }

  append(bytes: Buffer): void {
    if (bytes.length === 0) return
    const isFirst = this.total === 0
    this.total += bytes.length
    if (isFirst || bytes.length >= SMALL_PIECE_BYTES) {
      this.completePart()
      this.complete.push(bytes)
      return
    }
    if (this.used + bytes.length > this.block.length) this.startBlock()
    this.used += bytes.copy(this.block, this.used)
  }

  /** Starts a block as large as all bytes so far, so that few blocks are needed and little of them stays unused. */
  private startBlock(): void {
    this.completePart()
    this.block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, Math.max(SMALL_PIECE_BYTES, this.total)))
    this.start = 0
    this.used = 0
  }

  private completePart(): void {
    if (this.used > this.start) this.complete.push(this.block.subarray(this.start, this.used))
    this.start = this.used
  }
}

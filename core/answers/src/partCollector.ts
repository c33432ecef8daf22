/** Parts below this size are copied together: the object of a buffer takes some hundred bytes. */
const SMALL_PART_BYTES = 1_024
const BLOCK_BYTES = 4_096

/** Collects bytes that come in parts. The memory that it takes follows the bytes, whatever the size of the parts. */
export class PartCollector {
  private collected: Buffer[] = []
  private block: Buffer | undefined
  /** Bytes of the block that are in use. */
  private used = 0

  get parts(): readonly Buffer[] {
    return this.collected
  }

  append(part: Buffer): void {
    if (part.length >= SMALL_PART_BYTES) this.appendLarge(part)
    else if (part.length > 0) this.appendSmall(part)
  }

  /** Returns the parts and begins anew. */
  take(): Buffer[] {
    const taken = this.collected
    this.collected = []
    this.block = undefined
    return taken
  }

  private appendLarge(part: Buffer): void {
    this.block = undefined
    this.collected.push(part)
  }

  private appendSmall(part: Buffer): void {
    if (this.block === undefined || this.used + part.length > BLOCK_BYTES) this.beginBlock()
    part.copy(this.block!, this.used)
    this.used += part.length
    this.collected[this.collected.length - 1] = this.block!.subarray(0, this.used)
  }

  private beginBlock(): void {
    this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.used = 0
    this.collected.push(this.block)
  }
}

/** Size of the blocks that a large body is kept in. */
export const BLOCK_BYTES = 64 * 1024

/**
 * Blocks of memory for large bodies, which are used again and again: the memory of a buffer that is dropped is free only after
 * the garbage collector has run, which the bytes outside its heap do not hasten.
 */
export class BlockPool {
  private readonly free: Buffer[] = []

  acquire(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  /** Returns blocks that nothing reads or writes any more. */
  put(blocks: readonly Buffer[]): void {
    this.free.push(...blocks)
  }
}

/** Returns the bytes that blocks for a body of this length take. */
export function bytesInBlocks(length: number): number {
  return Math.ceil(length / BLOCK_BYTES) * BLOCK_BYTES
}

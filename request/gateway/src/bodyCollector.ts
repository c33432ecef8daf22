import { ByteCollector } from '@forkstage/bytes'
import type { BlockPool } from './blockPool'

/** Collects the parts of a body: small ones copied together, and all copied into blocks where it is large. */
export class BodyCollector {
  private small = new ByteCollector()
  private parts: Buffer[] = []
  private blocks: BlockPool | undefined
  /** Bytes of the last block that are in use. */
  private used = 0

  /** Whether the parts lie in blocks. */
  get isInBlocks(): boolean {
    return this.blocks !== undefined
  }

  /** Copies what came and what comes into blocks. */
  useBlocks(blocks: BlockPool): void {
    this.blocks = blocks
    const before = this.small.parts
    this.small = new ByteCollector()
    before.forEach((part) => this.append(part))
  }

  append(chunk: Buffer): void {
    if (this.blocks === undefined) return this.small.append(chunk)
    for (let at = 0; at < chunk.length;) {
      const block = this.blockWithRoom(this.blocks)
      const copied = chunk.copy(block, this.used, at)
      this.used += copied
      at += copied
    }
  }

  /** Returns the body in parts: one where it is small. */
  finish(): readonly Buffer[] {
    if (this.blocks === undefined) return joined(this.small.parts)
    const last = this.parts.pop()
    return last === undefined ? [] : [...this.parts, last.subarray(0, this.used)]
  }

  /** Returns the blocks of a body that is not used. */
  discard(): void {
    this.small = new ByteCollector()
    this.blocks?.put(this.parts)
    this.parts = []
  }

  private blockWithRoom(blocks: BlockPool): Buffer {
    const last = this.parts.at(-1)
    if (last !== undefined && this.used < last.length) return last
    const block = blocks.acquire()
    this.parts.push(block)
    this.used = 0
    return block
  }
}

function joined(parts: Buffer[]): readonly Buffer[] {
  return parts.length > 1 ? [Buffer.concat(parts)] : parts
}

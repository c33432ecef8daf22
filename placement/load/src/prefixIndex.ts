import type { CacheEvent } from '@forkstage/engine-client'

/** Blocks kept for each endpoint; the oldest are dropped first, as in the engine itself. */
const MAX_BLOCKS = 2_048

/** What an endpoint's prefix cache probably holds: delayed events combined with what was sent there. */
export class PrefixIndex {
  private readonly blocks = new Map<string, true>()

  /** Adds blocks that this box has sent there. */
  recordSent(blocks: string[]): void {
    for (const block of blocks) this.add(block)
  }

  applyEvents(events: CacheEvent[]): void {
    for (const event of events) {
      if (event.type === 'added') this.add(event.block)
      else this.blocks.delete(event.block)
    }
  }

  /** The number of leading blocks that the prefix cache probably holds. */
  match(blocks: string[]): number {
    const firstMissing = blocks.findIndex((block) => !this.blocks.has(block))
    return firstMissing < 0 ? blocks.length : firstMissing
  }

  /** Removes all blocks, after the endpoint has restarted. */
  clear(): void {
    this.blocks.clear()
  }

  private add(block: string): void {
    this.blocks.delete(block)
    this.blocks.set(block, true)
    if (this.blocks.size > MAX_BLOCKS) this.blocks.delete(this.blocks.keys().next().value!)
  }
}

import type { CacheEvent } from '@forkstage/engine-client'

const MAX_EVENTS = 4_096

/** A prefix cache of limited size that evicts the least recently used block and records its changes as events. */
export class PrefixCache {
  /** Blocks ordered by last use, least recent first. */
  private readonly blocks = new Map<string, true>()
  private events: CacheEvent[] = []
  private seq = 0

  constructor(private readonly capacityBlocks: number) {}

  /** Returns how many leading blocks are cached. */
  match(blocks: string[]): number {
    const firstMissing = blocks.findIndex((block) => !this.blocks.has(block))
    return firstMissing < 0 ? blocks.length : firstMissing
  }

  add(blocks: string[]): void {
    for (const block of blocks) {
      if (!this.blocks.delete(block)) this.recordEvent('added', block)
      this.blocks.set(block, true)
    }
    while (this.blocks.size > this.capacityBlocks) {
      const oldest = this.blocks.keys().next().value!
      this.blocks.delete(oldest)
      this.recordEvent('evicted', oldest)
    }
  }

  eventsAfter(seq: number): CacheEvent[] {
    return this.events.filter((event) => event.seq > seq)
  }

  private recordEvent(type: CacheEvent['type'], block: string): void {
    this.seq += 1
    this.events.push({ seq: this.seq, type, block })
    if (this.events.length > MAX_EVENTS) this.events = this.events.slice(MAX_EVENTS / 2)
  }
}

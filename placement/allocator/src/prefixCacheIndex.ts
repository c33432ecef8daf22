import type { InstanceId } from '@forkstage/directory'
import type { PromptPart } from './allocatorTypes'

/** More parts than an engine can cache: 90,000 tokens in parts of 200. Bounds the index, whatever callers name. */
const MAX_PARTS = 450

/** Prompt parts that each engine is known to have prefilled or fetched, and has therefore cached. */
export class PrefixCacheIndex {
  /** Tokens by part id, the least recently used first. */
  private readonly engines = new Map<InstanceId, Map<string, number>>()

  /** Records that an engine has prefilled, fetched or used a prompt: its parts are evicted last. */
  recordUse(engine: InstanceId, parts: PromptPart[]): void {
    const cached = this.engines.get(engine) ?? new Map<string, number>()
    this.engines.set(engine, cached)
    // A later part is of no use without the ones before it, so it is evicted first.
    for (const { id, tokens } of [...parts].reverse()) {
      cached.delete(id)
      cached.set(id, tokens)
    }
    for (const id of cached.keys()) {
      if (cached.size <= MAX_PARTS) return
      cached.delete(id)
    }
  }

  /**
   * Returns how many tokens of a prompt an engine need not prefill: those of its cached parts up to the first missing
   * one.
   */
  cachedTokens(engine: InstanceId, parts: PromptPart[]): number {
    const cached = this.engines.get(engine)
    if (cached === undefined) return 0
    let sum = 0
    for (const { id, tokens } of parts) {
      if (!cached.has(id)) return sum
      sum += tokens
    }
    return sum
  }

  /**
   * Removes the least recently used parts, which an engine must have evicted for lack of memory.
   * @param room tokens left for parts that no running answer uses.
   * @param inUse ids of the parts that running answers use; these are not evicted.
   */
  trim(engine: InstanceId, room: number, inUse: ReadonlySet<string>): void {
    const cached = this.engines.get(engine)
    if (cached === undefined) return
    let left = room
    for (const [id, tokens] of [...cached].reverse()) {
      if (inUse.has(id)) continue
      left -= tokens
      if (left < 0) cached.delete(id)
    }
  }

  /**
   * Removes the last part of a prompt that an engine has not prefilled; only that part belongs to this prompt alone.
   */
  removeLastPart(engine: InstanceId, parts: PromptPart[]): void {
    const own = parts.at(-1)
    if (own !== undefined) this.engines.get(engine)?.delete(own.id)
  }

  /** Removes all parts of an engine. */
  clear(engine: InstanceId): void {
    this.engines.delete(engine)
  }

  /** Removes all engines that are not among the given ones. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.engines.keys()) if (!ids.has(id)) this.engines.delete(id)
  }

  /** Returns the engines with cached parts. */
  known(): InstanceId[] {
    return [...this.engines.keys()]
  }
}

import type { InstanceId } from '@forkstage/directory'
import type { PromptPart } from './allocatorTypes'

/** More parts than an engine keeps: 90,000 tokens in parts of 200. Bounds the book, whatever callers name. */
const MAX_PARTS = 450

/** Which parts of prompts which engine keeps, as far as it was seen to read or fetch them. */
export class PrefixCacheIndex {
  /** Tokens by part, those unused longest first. */
  private readonly engines = new Map<InstanceId, Map<string, number>>()

  /** Notes that an engine has read, fetched or used a prompt: its parts are the last to give way. */
  recordUse(engine: InstanceId, parts: PromptPart[]): void {
    const cached = this.engines.get(engine) ?? new Map<string, number>()
    this.engines.set(engine, cached)
    // What comes later in a prompt is of no use without what comes before it, so it gives way first.
    for (const { id, tokens } of [...parts].reverse()) {
      cached.delete(id)
      cached.set(id, tokens)
    }
    for (const id of cached.keys()) {
      if (cached.size <= MAX_PARTS) return
      cached.delete(id)
    }
  }

  /** How many tokens of a prompt an engine need not read: those of the parts that it keeps from the first one on. */
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
   * Forgets what an engine's memory must have pushed out.
   * @param room tokens that are left for parts that no running answer uses.
   * @param inUse ids of the parts that running answers use: these do not give way.
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

  /** An engine has not read a prompt: of its parts the last one is its own. */
  removeLastPart(engine: InstanceId, parts: PromptPart[]): void {
    const own = parts.at(-1)
    if (own !== undefined) this.engines.get(engine)?.delete(own.id)
  }

  /** An engine keeps nothing any more. */
  clear(engine: InstanceId): void {
    this.engines.delete(engine)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.engines.keys()) if (!ids.has(id)) this.engines.delete(id)
  }

  /** The engines of which something is believed. */
  known(): InstanceId[] {
    return [...this.engines.keys()]
  }
}

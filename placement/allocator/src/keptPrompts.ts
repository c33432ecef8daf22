import type { InstanceId } from '@forkstage/directory'
import type { PromptPart } from './allocatorTypes'

/** More parts than an engine keeps: 90,000 tokens in parts of 200. Bounds the book, whatever callers name. */
const MOST_PARTS = 450

/** Which parts of prompts which engine keeps, as far as it was seen to read or fetch them. */
export class KeptPrompts {
  /** Tokens by part, those unused longest first. */
  private readonly engines = new Map<InstanceId, Map<string, number>>()

  /** Notes that an engine has read, fetched or used a prompt: its parts are the last to give way. */
  note(engine: InstanceId, parts: PromptPart[]): void {
    const kept = this.engines.get(engine) ?? new Map<string, number>()
    this.engines.set(engine, kept)
    // What comes later in a prompt is of no use without what comes before it, so it gives way first.
    for (const { id, tokens } of [...parts].reverse()) {
      kept.delete(id)
      kept.set(id, tokens)
    }
    for (const id of kept.keys()) {
      if (kept.size <= MOST_PARTS) return
      kept.delete(id)
    }
  }

  /** How many tokens of a prompt an engine need not read: those of the parts that it keeps from the first one on. */
  tokensOf(engine: InstanceId, parts: PromptPart[]): number {
    const kept = this.engines.get(engine)
    if (kept === undefined) return 0
    let sum = 0
    for (const { id, tokens } of parts) {
      if (!kept.has(id)) return sum
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
    const kept = this.engines.get(engine)
    if (kept === undefined) return
    let left = room
    for (const [id, tokens] of [...kept].reverse()) {
      if (inUse.has(id)) continue
      left -= tokens
      if (left < 0) kept.delete(id)
    }
  }

  /** An engine has not read a prompt: of its parts the last one is its own. */
  drop(engine: InstanceId, parts: PromptPart[]): void {
    const own = parts.at(-1)
    if (own !== undefined) this.engines.get(engine)?.delete(own.id)
  }

  /** An engine keeps nothing any more. */
  forget(engine: InstanceId): void {
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

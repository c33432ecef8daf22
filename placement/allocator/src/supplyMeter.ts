import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/**
 * A change of an engine's part takes as long as many a slowness lasts, so that what an engine does is averaged over
 * the same time as demand.
 */
const MEMORY_MS = 8_000
/** Engines that do this share of what their peers do differ by how many answers run there, not by their pace. */
const WELL_FROM = 0.7

/** Averages what each engine does of the work of one that is well. */
export class SupplyMeter {
  private readonly known = new Map<InstanceId, { supply: number; at: Millis }>()

  /** Notes how many times slower than its peers an engine is now; returns its average supply, from 0 to 1. */
  note(id: InstanceId, slowness: number, now: Millis): number {
    const supply = Math.min(1, 1 / slowness)
    const before = this.known.get(id) ?? { supply: 1, at: now }
    const weight = 1 - Math.exp(-(now - before.at) / MEMORY_MS)
    const mean = before.supply + (supply - before.supply) * weight
    this.known.set(id, { supply: mean, at: now })
    return mean >= WELL_FROM ? 1 : mean
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id)
  }
}

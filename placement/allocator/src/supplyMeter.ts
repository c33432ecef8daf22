import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/**
 * A change of an engine's part takes as long as many a slowness lasts, so that what an engine does is averaged over
 * the same time as demand.
 */
const MEMORY_MS = 8_000
/** Engines that do this share of what their peers do differ by how many answers run there, not by their pace. */
const FULL_SUPPLY_FROM = 0.7

/** Builds that differ less than this count as the same: how many answers run at an engine makes as much. */
const SAME_BUILD_RATIO = 1.15

/** Averages what each engine does of the work of one that is well. */
export class SupplyMeter {
  private readonly known = new Map<InstanceId, { supply: number; at: Millis }>()

  /**
   * Notes how many times slower than it should be an engine is now.
   * @param build how many times its peers' time it takes while it is well.
   * @returns its average supply, in engines of the usual pace that are well.
   */
  record(id: InstanceId, { slowness, build }: { slowness: number; build: number }, now: Millis): number {
    const supply = Math.min(1, 1 / slowness)
    const before = this.known.get(id) ?? { supply: 1, at: now }
    const weight = 1 - Math.exp(-(now - before.at) / MEMORY_MS)
    const mean = before.supply + (supply - before.supply) * weight
    this.known.set(id, { supply: mean, at: now })
    const isUsual = Math.max(build, 1 / build) < SAME_BUILD_RATIO
    return (mean >= FULL_SUPPLY_FROM ? 1 : mean) / (isUsual ? 1 : build)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id)
  }
}

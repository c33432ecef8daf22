import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** A stage change takes as long as many a slowdown lasts, so supply is averaged over the same time as demand. */
const MEMORY_MS = 8_000
/**
 * Engines from this share of their peers' supply count as healthy: the difference comes from their load, not from
 * their pace.
 */
const FULL_SUPPLY_FROM = 0.7

/** Builds that differ by less than this factor count as the same: load alone causes as much. */
const SAME_BUILD_RATIO = 1.15

/** Averages the supply of each engine, relative to a healthy one. */
export class SupplyMeter {
  private readonly known = new Map<InstanceId, { supply: number; at: Millis }>()

  /**
   * Records how many times slower than it should be an engine is now.
   * @param build its time as a multiple of its peers' while it is healthy.
   * @returns its average supply, in healthy engines of the usual pace.
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
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id)
  }
}

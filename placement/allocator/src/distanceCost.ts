import type { EnginePool } from '@forkstage/routes'
import type { Distance } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'

/** Costs of a distance, compared with work in one failure domain. */
interface DistanceCost {
  /** One-way network delay, in milliseconds. */
  hopMs: Millis
  /** Factor by which a copy of memory takes longer, as the engines' protocol states. */
  copyFactor: number
  /** Cost of a copy of a prompt's memory beyond its duration, as a share of the prompt's prefill time. */
  copyShare: number
  /** Cost of generating an answer this far from the caller's entry, as a share of an engine's memory. */
  answerShare: number
  /**
   * Cost of generating an answer this far from its prefill engine, or from the engine that it leaves, as a share of
   * an engine's memory.
   */
  memoryShare: number
}

/**
 * `hopMs`: operators state 0.2 ms within a failure domain, 0.5 to 1.4 ms between two of a region, 8 ms between
 * regions.
 * `copyShare`: 30 of 95 ms between domains, of which the copy itself takes 1 to 2 ms; copies between regions cost up
 * to one and a half times as much as those between domains.
 * `answerShare`: a prompt of 5,200 tokens is 0.07 of an engine that holds 73,000, so that a second answer goes to an
 * engine nearby before an empty one of another region, and a third does not.
 * `memoryShare`: higher, since the memory of that prompt is 96 MB and more while the events of its answer are some
 * kilobytes, so that an empty engine near the prefill engine is preferred to one near the caller. Both are 0 within a
 * region.
 */
const DISTANCE_COSTS: Record<Distance, DistanceCost> = {
  'same-domain': { hopMs: 0.2, copyFactor: 1, copyShare: 0, answerShare: 0, memoryShare: 0 },
  'other-domain': { hopMs: 1, copyFactor: 2, copyShare: 0.3, answerShare: 0, memoryShare: 0 },
  'other-region': { hopMs: 8, copyFactor: 10, copyShare: 0.45, answerShare: 0.15, memoryShare: 0.2 },
}

/** One-way delays of a call on a new connection: two round trips. */
const HOPS_PER_CALL = 4
const BITS_PER_BYTE = 8
/** Bits per millisecond at 1 Mbit/s. */
const BITS_PER_MS_PER_MBPS = 1_000

/**
 * Returns how long a copy of the memory of some tokens takes on an engine's link, in milliseconds; 0 if the sheet
 * states no link speed.
 */
export function copyMs(tokens: number, engine: EnginePool, distance: Distance): Millis {
  if (!(engine.linkMbps > 0) || !(engine.kvBytesPerToken > 0)) return 0
  const bits = tokens * engine.kvBytesPerToken * BITS_PER_BYTE
  return (bits / (engine.linkMbps * BITS_PER_MS_PER_MBPS)) * DISTANCE_COSTS[distance].copyFactor
}

/**
 * Returns the cost of a prefill this far from the decode engine, in milliseconds that another prefill engine may be
 * later. Between domains of one region the share includes all of it.
 * @param prefillMs how long the prefill takes.
 */
export function remotePrefillCostMs(
  distance: Distance,
  promptTokens: number,
  prefillMs: Millis,
  engine: EnginePool,
): Millis {
  const copyCostMs = prefillMs * DISTANCE_COSTS[distance].copyShare
  if (distance !== 'other-region') return copyCostMs
  const extraCopyMs = copyMs(promptTokens, engine, distance) - copyMs(promptTokens, engine, 'same-domain')
  return copyCostMs + extraCopyMs + extraCallMs(distance)
}

/** Returns how much longer a call to another region takes than one nearby, in milliseconds; 0 within a region. */
export function extraCallMs(distance: Distance): Millis {
  if (distance !== 'other-region') return 0
  return (DISTANCE_COSTS[distance].hopMs - DISTANCE_COSTS['other-domain'].hopMs) * HOPS_PER_CALL
}

/** Returns how many more tokens an engine near the entry may hold than one this far away and still be preferred. */
export function entryDistanceTokens(distance: Distance, engine: EnginePool): number {
  return engine.kvTokens * DISTANCE_COSTS[distance].answerShare
}

/** Returns the same for an engine this far from the nearest prefill engine of the prompt, in tokens. */
export function prefillDistanceTokens(distance: Distance, engine: EnginePool): number {
  return engine.kvTokens * DISTANCE_COSTS[distance].memoryShare
}

/** Returns the same for an engine this far from the one that an answer leaves with its memory, in tokens. */
export function migrationDistanceTokens(distance: Distance, engine: EnginePool): number {
  return engine.kvTokens * DISTANCE_COSTS[distance].memoryShare
}

import type { EnginePool } from '@forkstage/routes'
import type { Distance } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'

/** What a distance costs beyond work in one failure domain. */
interface DistanceCost {
  /** One way over the network, in milliseconds. */
  hopMs: Millis
  /** How many times longer a copy of memory takes (the engines' protocol says so). */
  copyFactor: number
  /** What a copy of a prompt's memory is worth avoiding beside its time, as a share of the time to read the prompt. */
  copyShare: number
  /** What an answer made that far from its caller's entry is worth avoiding, as a share of an engine's memory. */
  answerShare: number
  /** The same for one made that far from where its prompt is read, or from the engine that it leaves. */
  memoryShare: number
}

/**
 * Hops: as operators state their links, 0.2 ms within a failure domain, 0.5 to 1.4 ms between two of a region, 8 ms between
 * regions. `copyShare`: 30 of 95 ms between domains, as tuned before regions were known, of which the copy itself takes 1 to
 * 2 ms: the rest is its price; copies between regions are priced up to one and a half times as high as those between
 * domains. `answerShare`: a prompt of 5,200 tokens is 0.07 of an engine
 * that holds 73,000, so that a second answer goes to an engine nearby before an empty one of another region, and a third does
 * not. `memoryShare`: above it, since that prompt's memory is 96 MB and more and the events of its answer are some kilobytes;
 * so an empty engine near the reader goes before one near the caller. Both 0 within a region.
 */
const DISTANCE_COSTS: Record<Distance, DistanceCost> = {
  'same-domain': { hopMs: 0.2, copyFactor: 1, copyShare: 0, answerShare: 0, memoryShare: 0 },
  'other-domain': { hopMs: 1, copyFactor: 2, copyShare: 0.3, answerShare: 0, memoryShare: 0 },
  'other-region': { hopMs: 8, copyFactor: 10, copyShare: 0.45, answerShare: 0.15, memoryShare: 0.2 },
}

/** A connection that is opened anew and one question: there and back, twice. */
const HOPS_PER_CALL = 4
const BITS_PER_BYTE = 8
/** A megabit a second is so many bits a millisecond. */
const BITS_PER_MS_PER_MBPS = 1_000

/** What a copy of some tokens' memory takes on the link of an engine, in milliseconds; 0 where a sheet gives no speed. */
export function copyMs(tokens: number, engine: EnginePool, distance: Distance): Millis {
  if (!(engine.linkMbps > 0) || !(engine.kvBytesPerToken > 0)) return 0
  const bits = tokens * engine.kvBytesPerToken * BITS_PER_BYTE
  return (bits / (engine.linkMbps * BITS_PER_MS_PER_MBPS)) * DISTANCE_COSTS[distance].copyFactor
}

/**
 * What it costs to read a prompt that far from the engine that decodes, in milliseconds that another reader may be later.
 * Between domains of one region the share holds all of it.
 * @param prefillMs how long reading the prompt takes.
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

/** What a call to another region takes longer than one nearby, in milliseconds; 0 within a region. */
export function extraCallMs(distance: Distance): Millis {
  if (distance !== 'other-region') return 0
  return (DISTANCE_COSTS[distance].hopMs - DISTANCE_COSTS['other-domain'].hopMs) * HOPS_PER_CALL
}

/** Tokens that an engine nearby may hold more than one that far, and still be taken. */
export function entryDistanceTokens(distance: Distance, engine: EnginePool): number {
  return engine.kvTokens * DISTANCE_COSTS[distance].answerShare
}

/** The same for an engine that far from the nearest reader of the prompt. */
export function prefillDistanceTokens(distance: Distance, engine: EnginePool): number {
  return engine.kvTokens * DISTANCE_COSTS[distance].memoryShare
}

/** The same for an engine that far from the one that an answer leaves with its memory. */
export function migrationDistanceTokens(distance: Distance, engine: EnginePool): number {
  return engine.kvTokens * DISTANCE_COSTS[distance].memoryShare
}

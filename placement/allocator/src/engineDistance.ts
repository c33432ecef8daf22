import type { RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Topology } from '@forkstage/topology'
import type { FailureDomain, Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import {
  entryDistanceTokens,
  migrationDistanceTokens,
  remotePrefillCostMs,
  prefillDistanceTokens,
} from './distanceCost'

/** Weighs how far engines are from each other and from the entries of their requests. */
export class EngineDistance {
  constructor(private readonly topology: Topology) {}

  /** What the way from a request's entry to a decode engine counts, in tokens of its memory. */
  entryCostTokens({ entryDomain }: PlaceAsk, engine: EnginePool, decode: RegisteredEndpoint): number {
    if (entryDomain === undefined) return 0
    return entryDistanceTokens(this.topology.distance(entryDomain, decode.zone), engine)
  }

  /** The same with the way from the nearest of its readers, where there are any. */
  decodeCostTokens(
    ask: PlaceAsk,
    engine: EnginePool,
    decode: RegisteredEndpoint,
    prefillEngines: RegisteredEndpoint[],
  ): number {
    const distances = prefillEngines.map(({ zone }) =>
      prefillDistanceTokens(this.topology.distance(zone, decode.zone), engine),
    )
    return this.entryCostTokens(ask, engine, decode) + (distances.length === 0 ? 0 : Math.min(...distances))
  }

  /** The same for an answer that moves there with its memory. */
  migrationCostTokens(
    ask: PlaceAsk,
    engine: EnginePool,
    from: FailureDomain,
    to: RegisteredEndpoint,
  ): number {
    const distance = migrationDistanceTokens(this.topology.distance(from, to.zone), engine)
    return distance + this.entryCostTokens(ask, engine, to)
  }

  /** How much sooner a reader must be for its way to the decode engine, in milliseconds. */
  prefillCostMs(
    prefill: RegisteredEndpoint,
    decode: RegisteredEndpoint,
    { promptTokens, prefillMs, engine }: { promptTokens: number; prefillMs: Millis; engine: EnginePool },
  ): Millis {
    return remotePrefillCostMs(
      this.topology.distance(prefill.zone, decode.zone),
      promptTokens,
      prefillMs,
      engine,
    )
  }
}

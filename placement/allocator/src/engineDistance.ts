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

/** Computes costs of the distances between engines and to the entries of their requests. */
export class EngineDistance {
  constructor(private readonly topology: Topology) {}

  /** Returns the cost of the distance from a request's entry to a decode engine, in tokens of its memory. */
  entryCostTokens({ entryDomain }: PlaceAsk, engine: EnginePool, decode: RegisteredEndpoint): number {
    if (entryDomain === undefined) return 0
    return entryDistanceTokens(this.topology.distance(entryDomain, decode.zone), engine)
  }

  /** Returns that cost plus the cost of the distance from the nearest prefill engine, if there is any, in tokens. */
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

  /** Returns the cost of migrating an answer with its memory to an engine, in tokens. */
  migrationCostTokens(
    ask: PlaceAsk,
    engine: EnginePool,
    from: FailureDomain,
    to: RegisteredEndpoint,
  ): number {
    const distance = migrationDistanceTokens(this.topology.distance(from, to.zone), engine)
    return distance + this.entryCostTokens(ask, engine, to)
  }

  /**
   * Returns how much earlier a prefill engine must be to make up for its distance to the decode engine, in
   * milliseconds.
   */
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

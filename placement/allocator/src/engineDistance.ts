import type { RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Topology } from '@forkstage/topology'
import type { FailureDomain, Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import { decodingAwayTokens, movingAwayTokens, readingAwayMs, readingAwayTokens } from './travelCost'

/** Weighs how far engines are from each other and from the entries of their requests. */
export class EngineDistance {
  constructor(private readonly topology: Topology) {}

  /** What the way from a request's entry to a decode engine counts, in tokens of its memory. */
  tokensToEntry({ entryDomain }: PlaceAsk, engine: EnginePool, decode: RegisteredEndpoint): number {
    if (entryDomain === undefined) return 0
    return decodingAwayTokens(this.topology.distance(entryDomain, decode.zone), engine)
  }

  /** The same with the way from the nearest of its readers, where there are any. */
  tokensAround(
    ask: PlaceAsk,
    engine: EnginePool,
    decode: RegisteredEndpoint,
    readers: RegisteredEndpoint[],
  ): number {
    const ways = readers.map(({ zone }) =>
      readingAwayTokens(this.topology.distance(zone, decode.zone), engine),
    )
    return this.tokensToEntry(ask, engine, decode) + (ways.length === 0 ? 0 : Math.min(...ways))
  }

  /** The same for an answer that moves there with its memory. */
  tokensToMove(ask: PlaceAsk, engine: EnginePool, from: FailureDomain, to: RegisteredEndpoint): number {
    const way = movingAwayTokens(this.topology.distance(from, to.zone), engine)
    return way + this.tokensToEntry(ask, engine, to)
  }

  /** How much sooner a reader must be for its way to the decode engine, in milliseconds. */
  readingMs(
    prefill: RegisteredEndpoint,
    decode: RegisteredEndpoint,
    { promptTokens, readingMs, engine }: { promptTokens: number; readingMs: Millis; engine: EnginePool },
  ): Millis {
    return readingAwayMs(this.topology.distance(prefill.zone, decode.zone), promptTokens, readingMs, engine)
  }
}

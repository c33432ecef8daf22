import { NO_VERSION_REASON, NO_VERSION_RETRY_MS } from '@forkstage/allocator'
import type { InRegion } from '@forkstage/topology'
import { COLD_LIMIT_REASON, type ColdEndpointLimiter } from './coldEndpointLimiter'
import type { EndpointPool } from './endpointPool'
import type { PooledEndpoint } from './pooledEndpoint'
import { RATE_LIMIT_REASON, type EndpointRateLimiter } from './endpointRateLimiter'
import { refusalFor, type ModelPlacer, type ModelWork, type PlaceAnswer } from './modelPlacer'
import { poolPlace } from './poolPlace'
import { EVACUATED } from './sendRules'

/** Options of {@link LocalPlacer}. */
export interface LocalPlacerOptions {
  pool: EndpointPool
  /** Returns how many tokens one engine of a service can hold. */
  kvTokens: (service: string) => number
  /** Returns the number of entries, all of which may be placing by themselves. */
  entries: () => number
  /** Limits sends to cold engines; no engine counts as cold where left out. */
  cold?: ColdEndpointLimiter
  /** Limits sends to engines that advertise rates; unlimited where left out. */
  limits?: EndpointRateLimiter
}

const NO_ENDPOINT_RETRY_MS = 500
const NO_ROOM_RETRY_MS = 1_200
const MAX_FILL_SHARE = 0.9
/** Prefill speed that is assumed while no leader can be asked; large models reach 33 to 55. */
const PROMPT_TOKENS_PER_MS = 33
/** From the end of prefill to the first event. */
const FIRST_EVENT_MS = 60
/** A request whose target is shorter or already missed may queue this long for prefill. */
const LATE_PREFILL_MS = 500
/**
 * Factor above an even share: callers are spread unevenly over entries, and few entries have to place by themselves at
 * once.
 */
const UNEVEN_LOAD_FACTOR = 3

/**
 * Places model requests by this entry's knowledge alone while no leader can be asked: on the engine where its own
 * requests hold the fewest tokens, and up to its share of the memory of all engines.
 */
export class LocalPlacer implements ModelPlacer {
  constructor(private readonly options: LocalPlacerOptions) {}

  async place(work: ModelWork): Promise<PlaceAnswer> {
    const { pool, limits, cold } = this.options
    const { service, except, regions, boundVersion } = work
    const ofVersion = { stage: 'decode', regions, softwareVersion: boundVersion } as const
    const decoders = pool.candidates(service, { ...ofVersion, except })
    if (pool.isFullyBarred(service, 'decode'))
      return { type: 'refused', reason: EVACUATED, retryAfterMs: NO_ROOM_RETRY_MS }
    if (boundVersion !== undefined && !pool.hasVersion(service, boundVersion))
      return { type: 'refused', reason: NO_VERSION_REASON, retryAfterMs: NO_VERSION_RETRY_MS }
    const unavailable = pool.unavailability(service, ofVersion)
    if (unavailable !== undefined) return refusalFor(unavailable)
    if (limits?.isExhausted(decoders) === true)
      return { type: 'refused', reason: RATE_LIMIT_REASON, retryAfterMs: NO_ROOM_RETRY_MS }
    const decode = pool.fewestTokens(this.eligible(decoders), tokensOf(work))
    const coldMs = decode === undefined ? cold?.availableInMs(decoders) : undefined
    if (coldMs !== undefined) return { type: 'refused', reason: COLD_LIMIT_REASON, retryAfterMs: coldMs }
    if (decode === undefined)
      return { type: 'refused', reason: 'no decode engine is known', retryAfterMs: NO_ENDPOINT_RETRY_MS }
    if (!this.hasRoom(work, decoders))
      return { type: 'refused', reason: "this entry's share is full", retryAfterMs: NO_ROOM_RETRY_MS }
    const prefill = this.choosePrefill(work, decode)
    const { promptTokens } = work
    return {
      type: 'place',
      place: poolPlace({ pool, prefill, decode, promptTokens, tokens: tokensOf(work) }),
    }
  }

  /**
   * Returns the prefill engine with the fewest of this entry's tokens; undefined where there is none or its queue is
   * too long for the request's target, so that the decode engine runs the prefill.
   */
  private choosePrefill(work: ModelWork, decode: PooledEndpoint): InRegion<PooledEndpoint> | undefined {
    const { pool, entries } = this.options
    if (work.isPrefilled) return undefined
    const { service, except, regions, promptTokens } = work
    const prefillers = pool.candidates(service, { stage: 'prefill', except, regions })
    const prefill = pool.fewestTokens(this.eligible(prefillers), promptTokens, decode.endpoint.zone)
    if (prefill === undefined) return undefined
    // Other entries that place by themselves are assumed to queue as much there.
    const queued = prefill.tokens * Math.max(1, entries()) + work.promptTokens
    return queued / PROMPT_TOKENS_PER_MS + FIRST_EVENT_MS <= Math.max(work.targetMs, LATE_PREFILL_MS)
      ? prefill
      : undefined
  }

  private eligible(engines: InRegion<PooledEndpoint>[]): InRegion<PooledEndpoint>[] {
    const { limits, cold } = this.options
    const open = limits?.eligible(engines) ?? engines
    return cold?.eligible(open) ?? open
  }

  private hasRoom(work: ModelWork, decoders: PooledEndpoint[]): boolean {
    const { kvTokens, entries } = this.options
    // A newer sheet may lack the service of a request that an older one admitted.
    const all = (work.kvTokens ?? kvTokens(work.service)) * decoders.length * MAX_FILL_SHARE
    const own = decoders.reduce((sum, one) => sum + one.tokens, 0)
    return own === 0 || own + tokensOf(work) <= (all * UNEVEN_LOAD_FACTOR) / Math.max(1, entries())
  }
}

function tokensOf(work: ModelWork): number {
  return work.promptTokens + Math.min(work.mostTokens, work.hintTokens ?? work.mostTokens)
}

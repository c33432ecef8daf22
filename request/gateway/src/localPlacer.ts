import type { AtHome } from '@forkstage/topology'
import { COLD_LIMIT_REASON, type ColdEndpointLimiter } from './coldEndpointLimiter'
import type { EndpointPool, PooledEndpoint } from './endpointPool'
import { RATE_LIMIT_REASON, type EndpointRateLimiter } from './endpointRateLimiter'
import { refusalFor, type ModelPlacer, type ModelWork, type PlaceAnswer } from './modelPlacer'
import { poolPlace } from './poolPlace'
import { EVACUATED } from './sendRules'

/** Options of {@link LocalPlacer}. */
export interface LocalPlacerOptions {
  pool: EndpointPool
  /** Tokens that one engine of a service can hold. */
  kvTokens: (service: string) => number
  /** How many entries place beside this one. */
  entries: () => number
  /** What cold engines may get from here; none is cold where left out. */
  cold?: ColdEndpointLimiter
  /** What engines that name rates may get from here; all where left out. */
  limits?: EndpointRateLimiter
}

const NO_ENDPOINT_RETRY_MS = 500
const NO_ROOM_RETRY_MS = 1_200
const MAX_FILL_SHARE = 0.9
/** How fast a prefill engine reads, as far as an entry needs to know it while it is alone: large models, 33 to 55. */
const PROMPT_TOKENS_PER_MS = 33
/** From the end of reading to the first event. */
const FIRST_EVENT_MS = 60
/** A late request may queue this long to be read. */
const LATE_PREFILL_MS = 500
/** Callers are spread unevenly over entries, and few entries have to place alone at once. */
const UNEVEN_LOAD_FACTOR = 3

/**
 * Places model requests by what this entry alone knows, while nobody can be asked: the engine with the fewest
 * of its own tokens, and no more than this entry's share of all engines' memory.
 */
export class LocalPlacer implements ModelPlacer {
  constructor(private readonly options: LocalPlacerOptions) {}

  async place(work: ModelWork): Promise<PlaceAnswer> {
    const { pool, limits, cold } = this.options
    const { service, except, regions } = work
    const decoders = pool.candidates(service, { stage: 'decode', except, regions })
    if (pool.isFullyBarred(service, 'decode'))
      return { type: 'refused', reason: EVACUATED, retryAfterMs: NO_ROOM_RETRY_MS }
    const unavailable = pool.unavailability(service, { stage: 'decode', regions })
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

  /** The prefill engine with the fewest prompts, where it comes to this one in time; else the decode engine reads. */
  private choosePrefill(work: ModelWork, decode: PooledEndpoint): AtHome<PooledEndpoint> | undefined {
    const { pool, entries } = this.options
    if (work.isPrefilled) return undefined
    const { service, except, regions, promptTokens } = work
    const prefillers = pool.candidates(service, { stage: 'prefill', except, regions })
    const prefill = pool.fewestTokens(this.eligible(prefillers), promptTokens, decode.endpoint.zone)
    if (prefill === undefined) return undefined
    // Others that place alone queue as much there.
    const queued = prefill.tokens * Math.max(1, entries()) + work.promptTokens
    return queued / PROMPT_TOKENS_PER_MS + FIRST_EVENT_MS <= Math.max(work.targetMs, LATE_PREFILL_MS)
      ? prefill
      : undefined
  }

  private eligible(engines: AtHome<PooledEndpoint>[]): AtHome<PooledEndpoint>[] {
    const { limits, cold } = this.options
    const open = limits?.eligible(engines) ?? engines
    return cold?.eligible(open) ?? open
  }

  private hasRoom(work: ModelWork, decoders: PooledEndpoint[]): boolean {
    const { kvTokens, entries } = this.options
    // A newer sheet may lack the service of what came before it.
    const all = (work.kvTokens ?? kvTokens(work.service)) * decoders.length * MAX_FILL_SHARE
    const own = decoders.reduce((sum, one) => sum + one.tokens, 0)
    return own === 0 || own + tokensOf(work) <= (all * UNEVEN_LOAD_FACTOR) / Math.max(1, entries())
  }
}

function tokensOf(work: ModelWork): number {
  return work.promptTokens + Math.min(work.mostTokens, work.hintTokens ?? work.mostTokens)
}

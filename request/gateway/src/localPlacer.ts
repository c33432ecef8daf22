import type { AtHome } from '@forkstage/topology'
import { COLD_REASON, type ColdGate } from './coldGate'
import type { EndpointPool, PooledEndpoint } from './endpointPool'
import { LIMIT_REASON, type LimitGate } from './limitGate'
import { refusedAs, type ModelPlacer, type ModelWork, type PlaceAnswer } from './modelPlacer'
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
  cold?: ColdGate
  /** What engines that name rates may get from here; all where left out. */
  limits?: LimitGate
}

const NO_ENDPOINT_RETRY_MS = 500
const NO_ROOM_RETRY_MS = 1_200
const MOST_FILL = 0.9
/** How fast a prefill engine reads, as far as an entry needs to know it while it is alone: large models, 33 to 55. */
const PROMPT_TOKENS_PER_MS = 33
/** From the end of reading to the first event. */
const START_MS = 60
/** A late request may queue this long to be read. */
const LATE_READING_MS = 500
/** Callers are spread unevenly over entries, and few entries have to place alone at once. */
const UNEVEN_FACTOR = 3

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
    if (pool.isEmptied(service, 'decode'))
      return { type: 'refused', reason: EVACUATED, retryAfterMs: NO_ROOM_RETRY_MS }
    const closed = pool.closed(service, { stage: 'decode', regions })
    if (closed !== undefined) return refusedAs(closed)
    if (limits?.isUsedUp(decoders) === true)
      return { type: 'refused', reason: LIMIT_REASON, retryAfterMs: NO_ROOM_RETRY_MS }
    const decode = pool.fewestTokens(this.usable(decoders), tokensOf(work))
    const coldMs = decode === undefined ? cold?.freeIn(decoders) : undefined
    if (coldMs !== undefined) return { type: 'refused', reason: COLD_REASON, retryAfterMs: coldMs }
    if (decode === undefined)
      return { type: 'refused', reason: 'no decode engine is known', retryAfterMs: NO_ENDPOINT_RETRY_MS }
    if (!this.hasRoom(work, decoders))
      return { type: 'refused', reason: "this entry's share is full", retryAfterMs: NO_ROOM_RETRY_MS }
    const prefill = this.chooseReader(work, decode)
    const { promptTokens } = work
    return {
      type: 'place',
      place: poolPlace({ pool, prefill, decode, promptTokens, tokens: tokensOf(work) }),
    }
  }

  /** The prefill engine with the fewest prompts, where it comes to this one in time; else the decode engine reads. */
  private chooseReader(work: ModelWork, decode: PooledEndpoint): AtHome<PooledEndpoint> | undefined {
    const { pool, entries } = this.options
    if (work.isPrefilled) return undefined
    const { service, except, regions, promptTokens } = work
    const readers = pool.candidates(service, { stage: 'prefill', except, regions })
    const prefill = pool.fewestTokens(this.usable(readers), promptTokens, decode.endpoint.zone)
    if (prefill === undefined) return undefined
    // Others that place alone queue as much there.
    const queued = prefill.tokens * Math.max(1, entries()) + work.promptTokens
    return queued / PROMPT_TOKENS_PER_MS + START_MS <= Math.max(work.targetMs, LATE_READING_MS)
      ? prefill
      : undefined
  }

  private usable(engines: AtHome<PooledEndpoint>[]): AtHome<PooledEndpoint>[] {
    const { limits, cold } = this.options
    const open = limits?.usable(engines) ?? engines
    return cold?.usable(open) ?? open
  }

  private hasRoom(work: ModelWork, decoders: PooledEndpoint[]): boolean {
    const { kvTokens, entries } = this.options
    // A newer sheet may lack the service of what came before it.
    const all = (work.kvTokens ?? kvTokens(work.service)) * decoders.length * MOST_FILL
    const own = decoders.reduce((sum, one) => sum + one.tokens, 0)
    return own === 0 || own + tokensOf(work) <= (all * UNEVEN_FACTOR) / Math.max(1, entries())
  }
}

function tokensOf(work: ModelWork): number {
  return work.promptTokens + Math.min(work.mostTokens, work.hintTokens ?? work.mostTokens)
}

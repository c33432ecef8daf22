import type { EndpointPool, PooledEndpoint } from './endpointPool'
import type { ModelPlace, ModelPlacer, ModelWork, PlaceAnswer } from './modelPlacer'

/** Options of {@link LocalPlacer}. */
export interface LocalPlacerOptions {
  pool: EndpointPool
  /** Tokens that one engine of a service can hold. */
  kvTokens: (service: string) => number
  /** How many entries place beside this one. */
  entries: () => number
}

const NO_ENDPOINT_RETRY_MS = 500
const NO_ROOM_RETRY_MS = 1_200
const MOST_FILL = 0.9
/** Callers are spread unevenly over entries, and few entries have to place alone at once. */
const UNEVEN_FACTOR = 3

/**
 * Places model requests by what this entry alone knows, while nobody can be asked: the engine with the fewest
 * of its own tokens, and no more than this entry's share of all engines' memory.
 */
export class LocalPlacer implements ModelPlacer {
  constructor(private readonly options: LocalPlacerOptions) {}

  async place(work: ModelWork): Promise<PlaceAnswer> {
    const { pool } = this.options
    const decoders = pool.candidates(work.service, 'decode', work.except)
    const decode = pool.fewestTokens(decoders)
    if (decode === undefined)
      return { type: 'refused', reason: 'no decode engine is known', retryAfterMs: NO_ENDPOINT_RETRY_MS }
    if (!this.hasRoom(work, decoders))
      return { type: 'refused', reason: "this entry's share is full", retryAfterMs: NO_ROOM_RETRY_MS }
    const prefill = work.isPrefilled
      ? undefined
      : pool.fewestTokens(pool.candidates(work.service, 'prefill', work.except))
    return { type: 'place', place: this.take(work, decode, prefill) }
  }

  private hasRoom(work: ModelWork, decoders: PooledEndpoint[]): boolean {
    const { kvTokens, entries } = this.options
    const all = kvTokens(work.service) * decoders.length * MOST_FILL
    const own = decoders.reduce((sum, one) => sum + one.tokens, 0)
    return own === 0 || own + tokensOf(work) <= (all * UNEVEN_FACTOR) / Math.max(1, entries())
  }

  private take(work: ModelWork, decode: PooledEndpoint, prefill: PooledEndpoint | undefined): ModelPlace {
    const { pool } = this.options
    const tokens = tokensOf(work)
    pool.noteSent(decode, tokens)
    if (prefill !== undefined) pool.noteSent(prefill, work.promptTokens)
    return {
      prefill,
      decode,
      notePrefilled: (outcome, tookMs) => {
        if (prefill !== undefined) pool.noteEnd(prefill, outcome, tookMs, work.promptTokens)
      },
      noteStalled: () => undefined,
      release: (outcome, tookMs) => pool.noteEnd(decode, outcome, tookMs, tokens),
    }
  }
}

function tokensOf(work: ModelWork): number {
  return work.promptTokens + Math.min(work.mostTokens, work.hintTokens ?? work.mostTokens)
}

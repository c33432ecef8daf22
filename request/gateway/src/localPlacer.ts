import type { EndpointPool, PooledEndpoint } from './endpointPool'
import type { ModelPlace, ModelPlacer, ModelWork, PlaceAnswer } from './modelPlacer'

const NO_ENDPOINT_RETRY_MS = 500

/** Places model requests by what this entry alone knows: the fewest of its own tokens at each engine. */
export class LocalPlacer implements ModelPlacer {
  constructor(private readonly pool: EndpointPool) {}

  async place(work: ModelWork): Promise<PlaceAnswer> {
    const decode = this.fewestTokens(work, 'decode')
    if (decode === undefined)
      return { type: 'refused', reason: 'no decode engine is known', retryAfterMs: NO_ENDPOINT_RETRY_MS }
    const prefill = work.isPrefilled ? undefined : this.fewestTokens(work, 'prefill')
    return { type: 'place', place: this.take(work, decode, prefill) }
  }

  private fewestTokens(work: ModelWork, stage: 'prefill' | 'decode'): PooledEndpoint | undefined {
    const candidates = this.pool.candidates(work.service, stage, work.except)
    return this.pool.fewestTokens(candidates)
  }

  private take(work: ModelWork, decode: PooledEndpoint, prefill: PooledEndpoint | undefined): ModelPlace {
    const tokens = work.promptTokens + (work.hintTokens ?? work.mostTokens)
    this.pool.noteSent(decode, tokens)
    if (prefill !== undefined) this.pool.noteSent(prefill, work.promptTokens)
    return {
      prefill,
      decode,
      notePrefilled: (outcome, tookMs) => {
        if (prefill !== undefined) this.pool.noteEnd(prefill, outcome, tookMs, work.promptTokens)
      },
      release: (outcome, tookMs) => this.pool.noteEnd(decode, outcome, tookMs, tokens),
    }
  }
}

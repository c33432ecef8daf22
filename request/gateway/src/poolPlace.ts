import type { InRegion } from '@forkstage/topology'
import type { EndpointPool } from './endpointPool'
import type { PooledEndpoint } from './pooledEndpoint'
import type { ModelPlace } from './modelPlacer'

/** The engines of a place and the tokens that the pool counts for it. */
export interface PoolPlaceOptions {
  pool: EndpointPool
  prefill?: InRegion<PooledEndpoint>
  decode: InRegion<PooledEndpoint>
  /** Tokens that the prefill engine holds. */
  promptTokens: number
  /** Tokens that the decode engine may come to hold. */
  tokens: number
}

/** Returns a place that is counted in this entry's pool, also after the answer has moved to another engine. */
export function poolPlace({ pool, prefill, decode, promptTokens, tokens }: PoolPlaceOptions): ModelPlace {
  pool.recordSend(decode, tokens)
  if (prefill !== undefined) pool.recordSend(prefill, promptTokens)
  const place: ModelPlace = {
    prefill,
    decode,
    reportPrefilled: (outcome, tookMs) => {
      if (prefill !== undefined) pool.recordEnd(prefill, outcome, tookMs, promptTokens)
    },
    reportStalled: () => undefined,
    reportMoved: (to) => {
      pool.recordMove(place.decode, to, tokens)
      place.decode = to
    },
    release: (outcome, tookMs) => pool.recordEnd(place.decode, outcome, tookMs, tokens),
  }
  return place
}

import type { AtHome } from '@forkstage/topology'
import type { EndpointPool, PooledEndpoint } from './endpointPool'
import type { ModelPlace } from './modelPlacer'

/** What a place takes of the endpoints that this entry counts. */
export interface PoolPlaceOptions {
  pool: EndpointPool
  prefill?: AtHome<PooledEndpoint>
  decode: AtHome<PooledEndpoint>
  /** Tokens that the prefill engine holds. */
  promptTokens: number
  /** Tokens that the decode engine may come to hold. */
  tokens: number
}

/** A place that is counted at this entry's endpoints, wherever the answer goes on. */
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

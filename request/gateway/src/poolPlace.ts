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
  pool.noteSent(decode, tokens)
  if (prefill !== undefined) pool.noteSent(prefill, promptTokens)
  const place: ModelPlace = {
    prefill,
    decode,
    notePrefilled: (outcome, tookMs) => {
      if (prefill !== undefined) pool.noteEnd(prefill, outcome, tookMs, promptTokens)
    },
    noteStalled: () => undefined,
    noteMoved: (to) => {
      pool.noteMoved(place.decode, to, tokens)
      place.decode = to
    },
    release: (outcome, tookMs) => pool.noteEnd(place.decode, outcome, tookMs, tokens),
  }
  return place
}

import { reserveTokens, toPlacement } from './place'
import { weigh } from './costModel'
import type { EndpointView, PlacementView, PlacePolicy, PlaceRequest, PlaceResult } from './placeTypes'

/** The policies that forkstage's own is measured against. */
export type BaselineName = 'round-robin' | 'least-in-flight' | 'prefix-affinity'

/** Remembers whose turn it is. */
export interface BaselineState {
  turns: Map<string, number>
}

export function createBaselineState(): BaselineState {
  return { turns: new Map() }
}

/** Places by a baseline. Endpoints that are closed, or lack memory for the request, are passed over. */
export function placeByBaseline(
  name: BaselineName,
  request: PlaceRequest,
  view: PlacementView,
  policy: PlacePolicy,
  state: BaselineState,
): PlaceResult {
  const open = view.endpoints.filter(
    (each) =>
      each.closed === undefined &&
      each.row.service === request.service &&
      each.row.models.includes(request.model) &&
      !request.avoid.includes(each.row.endpoint),
  )
  const prefill = pick(
    name,
    'prefill',
    open.filter((each) => each.row.pool === 'prefill'),
    state,
  )
  const roomy = open.filter(
    (each) => each.row.pool === 'decode' && each.row.kvTokens - each.kvTokensUsed >= reserveTokens(request),
  )
  const decode = pick(name, 'decode', roomy, state)
  if (prefill === undefined || decode === undefined) {
    const reason = prefill === undefined ? 'no-prefill' : 'no-memory'
    return { type: 'refused', reason, retryAfter: 500, mayWait: true, candidates: [], closed: [] }
  }
  const figures = weigh(request, prefill, decode, view, policy)
  return toPlacement(request, { prefill, decode, figures }, view, policy, [figures])
}

function pick(
  name: BaselineName,
  pool: string,
  endpoints: EndpointView[],
  state: BaselineState,
): EndpointView | undefined {
  if (endpoints.length === 0) return undefined
  if (name === 'prefix-affinity' && pool === 'prefill') return least(endpoints, (each) => -each.cachedTokens)
  if (name !== 'round-robin') return least(endpoints, (each) => each.inFlight)
  const turn = (state.turns.get(pool) ?? -1) + 1
  state.turns.set(pool, turn)
  return endpoints[turn % endpoints.length]
}

function least(endpoints: EndpointView[], score: (endpoint: EndpointView) => number): EndpointView {
  return endpoints.reduce((best, each) => (score(each) < score(best) ? each : best))
}

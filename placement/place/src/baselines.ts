import { toPlacement } from './place'
import { estimatePair } from './costModel'
import type { EndpointView, PlacementView, PlacePolicy, PlaceRequest, PlaceResult } from './placeTypes'

/** The policies that forkstage's own policy is compared with. */
export type BaselineName = 'round-robin' | 'least-in-flight' | 'prefix-affinity'

/** The state of the `round-robin` policy: the last turn of each pool. */
export interface BaselineState {
  turns: Map<string, number>
}

export function createBaselineState(): BaselineState {
  return { turns: new Map() }
}

/**
 * Places like a load balancer in front of two pools: respects the row's state, a weight of 0 and
 * ejection, and ignores shares, memory, links and targets. An engine without memory refuses the
 * request, which is then retried elsewhere.
 */
export function placeByBaseline(
  name: BaselineName,
  request: PlaceRequest,
  view: PlacementView,
  policy: PlacePolicy,
  state: BaselineState,
): PlaceResult {
  const open = view.endpoints.filter((each) => isOpen(each, request))
  const prefill = pick(
    name,
    'prefill',
    open.filter((each) => each.row.pool === 'prefill'),
    state,
  )
  const decode = pick(
    name,
    'decode',
    open.filter((each) => each.row.pool === 'decode'),
    state,
  )
  if (prefill === undefined || decode === undefined) {
    const reason = prefill === undefined ? 'no-prefill' : 'no-decode'
    return { type: 'refused', reason, retryAfter: RETRY_AFTER_MS, mayWait: false, candidates: [], closed: [] }
  }
  const figures = estimatePair(request, prefill, decode, view, policy)
  return toPlacement(request, { prefill, decode, figures }, view, policy, [figures])
}

const RETRY_AFTER_MS = 500

function isOpen(endpoint: EndpointView, request: PlaceRequest): boolean {
  const { row, closed } = endpoint
  const takesWork = closed === undefined || closed === 'no-credit'
  const serves = row.service === request.service && row.models.includes(request.model)
  return takesWork && serves && !request.avoid.includes(row.endpoint)
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

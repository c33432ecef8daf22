import type { Random } from '@forkstage/clock'
import { linkName, prefillTimes, stepWithOneMore, transferBytes, estimatePair } from './costModel'
import type {
  CandidateFigures,
  EndpointView,
  Placement,
  PlacementView,
  PlacePolicy,
  PlaceRequest,
  PlaceResult,
  Refusal,
  RefusalReason,
} from './placeTypes'

/** How many engines of each pool are compared in pairs; the others are ruled out by their own score first. */
const SHORTLIST_SIZE = 4
/** Pairs within this share of the lowest cost count as equal; one is drawn, so that boxes do not herd. */
const NEAR_EQUAL_SHARE = 0.08
/** Part of the KV memory reserved for answers that grow beyond the forecast. */
const MEMORY_HEADROOM_SHARE = 0.03
/** The first token must be expected within this part of the target: reports lag, and other boxes send too. */
const LATE_TOLERANCE = 0.85
const MIN_RETRY_MS = 100

/** Options of {@link place}. */
export interface PlaceOptions {
  policy: PlacePolicy
  random: Random
}

interface EstimatedPair {
  figures: CandidateFigures
  prefill: EndpointView
  decode: EndpointView
}

/**
 * Chooses prefill engine, decode engine and link together, or refuses with the reason.
 * A pure function of its arguments; the result includes the figures of all pairs compared.
 */
export function place(request: PlaceRequest, view: PlacementView, options: PlaceOptions): PlaceResult {
  const { policy, random } = options
  const engines = view.endpoints.filter((each) => serves(each, request))
  const open = engines.filter(
    (each) => each.closed === undefined && !request.avoid.includes(each.row.endpoint),
  )
  const prefills = open.filter((each) => each.row.pool === 'prefill')
  const decodes = open.filter((each) => each.row.pool === 'decode')
  const withMemory = decodes.filter((each) => hasMemory(request, each) && isFastEnough(each, policy))
  if (withMemory.length === 0 || (prefills.length === 0 && !policy.parts.localPrefill)) {
    return refuseNoEngine(request, engines, { prefills, decodes, withMemory })
  }
  const pairs = estimatePairs(request, prefills, withMemory, view, policy)
  return choose(request, pairs, view, policy, random)
}

function serves(endpoint: EndpointView, request: PlaceRequest): boolean {
  return endpoint.row.service === request.service && endpoint.row.models.includes(request.model)
}

/** KV memory for the prompt and the expected answer, in tokens. */
export function reserveTokens(request: PlaceRequest): number {
  return request.promptTokens + Math.ceil(request.expectedOutput)
}

function hasMemory(request: PlaceRequest, decode: EndpointView): boolean {
  const room = decode.row.kvTokens * (1 - MEMORY_HEADROOM_SHARE) - decode.kvTokensUsed
  return room >= reserveTokens(request)
}

function isFastEnough(decode: EndpointView, policy: PlacePolicy): boolean {
  return !policy.parts.decodeLoad || stepWithOneMore(decode) <= policy.tbtTarget
}

function estimatePairs(
  request: PlaceRequest,
  prefills: EndpointView[],
  decodes: EndpointView[],
  view: PlacementView,
  policy: PlacePolicy,
): EstimatedPair[] {
  const bestPrefills = shortlist(prefills, (each) => {
    const { waitMs, prefillMs } = prefillTimes(request, each, policy)
    return waitMs + prefillMs + weightPenalty(each, policy)
  })
  const bestDecodes = shortlist(decodes, (each) => decodeScore(each, policy))
  const pairs = bestPrefills.flatMap((prefill) => bestDecodes.map((decode) => [prefill, decode] as const))
  const local = policy.parts.localPrefill ? bestDecodes.map((decode) => [decode, decode] as const) : []
  return [...pairs, ...local].map(([prefill, decode]) => ({
    prefill,
    decode,
    figures: estimatePair(request, prefill, decode, view, policy),
  }))
}

/** The endpoints with the lowest scores, at most {@link SHORTLIST_SIZE}, found in one pass. */
function shortlist(endpoints: EndpointView[], score: (endpoint: EndpointView) => number): EndpointView[] {
  const best: { endpoint: EndpointView; score: number }[] = []
  for (const endpoint of endpoints) {
    const entry = { endpoint, score: score(endpoint) }
    const position = best.findIndex((other) => entry.score < other.score)
    if (position >= 0) best.splice(position, 0, entry)
    else if (best.length < SHORTLIST_SIZE) best.push(entry)
    if (best.length > SHORTLIST_SIZE) best.pop()
  }
  return best.map((entry) => entry.endpoint)
}

function decodeScore(decode: EndpointView, policy: PlacePolicy): number {
  const memory = decode.kvTokensUsed / Math.max(1, decode.row.kvTokens)
  return decode.stepMs + memory * policy.tbtTarget + weightPenalty(decode, policy)
}

function weightPenalty(endpoint: EndpointView, policy: PlacePolicy): number {
  return policy.parts.weights ? (endpoint.shareRatio - 1) * policy.tbtTarget : 0
}

function choose(
  request: PlaceRequest,
  pairs: EstimatedPair[],
  view: PlacementView,
  policy: PlacePolicy,
  random: Random,
): PlaceResult {
  const best = pairs.reduce((least, each) => (each.figures.cost < least.figures.cost ? each : least))
  const candidates = pairs.map((each) => each.figures)
  const late = best.figures.ttftMs > policy.ttftTarget * LATE_TOLERANCE
  const soonest = pairs.reduce((least, each) => (each.figures.ttftMs < least.figures.ttftMs ? each : least))
  if (late && policy.parts.refuseLate && soonest.figures.ttftMs > policy.ttftTarget * LATE_TOLERANCE) {
    const retryAfter = Math.max(MIN_RETRY_MS, soonest.figures.ttftMs - policy.ttftTarget)
    return { type: 'refused', reason: 'too-late', retryAfter, mayWait: false, candidates, closed: [] }
  }
  const pick = late ? soonest : pickNearBest(pairs, best, policy, random)
  return toPlacement(request, pick, view, policy, candidates)
}

function pickNearBest(
  pairs: EstimatedPair[],
  best: EstimatedPair,
  policy: PlacePolicy,
  random: Random,
): EstimatedPair {
  if (!policy.parts.spread) return best
  const limit = best.figures.cost + Math.abs(best.figures.cost) * NEAR_EQUAL_SHARE
  const near = pairs.filter((each) => each.figures.cost <= limit)
  return near[Math.floor(random() * near.length)] ?? best
}

export function toPlacement(
  request: PlaceRequest,
  pick: EstimatedPair,
  view: PlacementView,
  policy: PlacePolicy,
  candidates: CandidateFigures[],
): Placement {
  const { prefill, decode, figures } = pick
  const link = linkName(prefill, decode)
  return {
    type: 'placed',
    prefill: prefill.row.endpoint,
    decode: decode.row.endpoint,
    link,
    linkBytesPerMs: view.links.get(link)?.bytesPerMs ?? policy.defaultBytesPerMs,
    reserveTokens: reserveTokens(request),
    kvBytes: transferBytes(request, prefill, decode, policy),
    figures,
    candidates,
  }
}

interface CandidateEngines {
  prefills: EndpointView[]
  decodes: EndpointView[]
  withMemory: EndpointView[]
}

/** Refuses a request that no engine can take now, with the reason and whether waiting may help. */
function refuseNoEngine(
  request: PlaceRequest,
  engines: EndpointView[],
  candidates: CandidateEngines,
): Refusal {
  const closed = engines.flatMap((each) =>
    each.closed === undefined ? [] : [{ endpoint: each.row.endpoint, reason: each.closed }],
  )
  const reason = refusalReason(engines, candidates)
  const soonest = Math.min(
    ...engines.filter((each) => each.row.pool === 'decode').map((each) => each.stepMs),
    1_000,
  )
  const retryAfter = Math.max(MIN_RETRY_MS, soonest * Math.max(1, request.expectedOutput))
  const mayWait = reason === 'no-memory' || reason === 'no-credit'
  return { type: 'refused', reason, retryAfter, mayWait, candidates: [], closed }
}

function refusalReason(engines: EndpointView[], candidates: CandidateEngines): RefusalReason {
  if (engines.length === 0) return 'no-endpoint'
  const lacksCredit = (pool: string) =>
    engines.some((each) => each.row.pool === pool && each.closed === 'no-credit')
  if (candidates.decodes.length > 0 && candidates.withMemory.length === 0) return 'no-memory'
  if (candidates.decodes.length === 0) return lacksCredit('decode') ? 'no-credit' : 'no-decode'
  return lacksCredit('prefill') ? 'no-credit' : 'no-prefill'
}

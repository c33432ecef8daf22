import type { CandidateFigures, EndpointView, PlacementView, PlacePolicy, PlaceRequest } from './placeTypes'

/** What one more stream adds to a decode step, as a share of the step. */
const STEP_GROWTH_PER_STREAM = 0.02
/** A decode engine that prefills slows its own streams by about this factor. */
const LOCAL_PREFILL_STEP_FACTOR = 1.8
/** How strongly a share of work above that of the engine's weight adds to the cost. */
const WEIGHT_PENALTY = 0.6
/** How strongly times beyond the latency targets add to the cost. */
const LATE_PENALTY = 4

/** The key of the link between two engines in {@link PlacementView.links}. */
export function linkName(prefill: EndpointView, decode: EndpointView): string {
  return `${prefill.row.domain}>${decode.row.domain}`
}

/** Tokens that a prefill engine must still compute. */
export function freshTokens(request: PlaceRequest, prefill: EndpointView, policy: PlacePolicy): number {
  const cached = policy.parts.prefixCache ? Math.min(prefill.cachedTokens, request.promptTokens) : 0
  return request.promptTokens - cached
}

/** The time that a prompt waits at a prefill engine, and the time of the prefill itself. */
export function prefillTimes(request: PlaceRequest, prefill: EndpointView, policy: PlacePolicy) {
  const waitMs = prefill.queuedPrefillTokens / prefill.prefillTokensPerMs
  const prefillMs = freshTokens(request, prefill, policy) / prefill.prefillTokensPerMs
  return { waitMs, prefillMs }
}

/** The step time with one more stream. */
export function stepWithOneMore(decode: EndpointView): number {
  return decode.stepMs * (1 + STEP_GROWTH_PER_STREAM)
}

/** Bytes of KV cache to transfer: what the decode engine does not hold already. */
export function transferBytes(
  request: PlaceRequest,
  prefill: EndpointView,
  decode: EndpointView,
  policy: PlacePolicy,
): number {
  if (prefill === decode) return 0
  const known = policy.parts.prefixCache ? Math.min(decode.cachedTokens, request.promptTokens) : 0
  return (request.promptTokens - known) * request.kvBytesPerToken
}

/** Estimates the latencies and the cost of one pair. */
export function estimatePair(
  request: PlaceRequest,
  prefill: EndpointView,
  decode: EndpointView,
  view: PlacementView,
  policy: PlacePolicy,
): CandidateFigures {
  const { waitMs, prefillMs } = prefillTimes(request, prefill, policy)
  const transferMs = transferTime(request, prefill, decode, view, policy)
  const local = prefill === decode
  const tbtMs = stepWithOneMore(decode)
  const ttftMs = request.waited + waitMs + prefillMs + transferMs + tbtMs
  const cost = costOf(
    {
      ttftMs,
      tbtMs,
      local,
      freshShare: freshTokens(request, prefill, policy) / Math.max(1, request.promptTokens),
    },
    prefill,
    decode,
    policy,
  )
  return {
    prefill: prefill.row.endpoint,
    decode: decode.row.endpoint,
    waitMs,
    prefillMs,
    transferMs,
    ttftMs,
    tbtMs,
    cost,
  }
}

function transferTime(
  request: PlaceRequest,
  prefill: EndpointView,
  decode: EndpointView,
  view: PlacementView,
  policy: PlacePolicy,
): number {
  if (prefill === decode || !policy.parts.links) return 0
  const link = view.links.get(linkName(prefill, decode))
  const rate = link?.bytesPerMs ?? policy.defaultBytesPerMs
  const queued = link?.queuedBytes ?? 0
  return (queued + transferBytes(request, prefill, decode, policy)) / rate
}

interface CostInputs {
  ttftMs: number
  tbtMs: number
  local: boolean
  freshShare: number
}

/** One number to compare pairs by: lower is better. */
function costOf(
  inputs: CostInputs,
  prefill: EndpointView,
  decode: EndpointView,
  policy: PlacePolicy,
): number {
  const { goodputWeight, wastedPrefillWeight, ttftTarget, tbtTarget, parts } = policy
  const tbtMs = inputs.local ? inputs.tbtMs * LOCAL_PREFILL_STEP_FACTOR : inputs.tbtMs
  const first = inputs.ttftMs / ttftTarget
  const between = parts.decodeLoad ? tbtMs / tbtTarget : 0
  const late = LATE_PENALTY * (Math.max(0, first - 1) + Math.max(0, between - 1))
  const memory = decode.kvTokensUsed / Math.max(1, decode.row.kvTokens)
  // A prefill is wasted most often where decode memory is nearly full, and costs what was not cached.
  const wasteRisk = inputs.freshShare * memory ** 4
  const weights = parts.weights ? WEIGHT_PENALTY * (overShare(prefill) + overShare(decode)) : 0
  return goodputWeight * (first + between + late) + wastedPrefillWeight * wasteRisk + weights
}

/** How far an endpoint is above the share that its weight asks for; below it, negative. */
function overShare(endpoint: EndpointView): number {
  return Math.max(-1, Math.min(4, endpoint.shareRatio - 1))
}

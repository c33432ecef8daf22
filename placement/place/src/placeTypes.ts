import type { EndpointName, EndpointRow, Millis, RequestId } from '@forkstage/types'

/** A model request as placement sees it. */
export interface PlaceRequest {
  request: RequestId
  service: string
  model: string
  promptTokens: number
  /** The expected length of the answer in tokens, learned for its class. */
  expectedOutput: number
  kvBytesPerToken: number
  /** How long the caller has waited already. */
  waited: Millis
  /** Endpoints that have failed this request before. */
  avoid: EndpointName[]
}

/** One endpoint as this box knows it: its last report combined with what was sent since. */
export interface EndpointView {
  row: EndpointRow
  /** Why the endpoint takes no new work from this box now; absent if it does. */
  closed?: ClosedReason
  /** Prompt tokens that wait for prefill at the endpoint. */
  queuedPrefillTokens: number
  prefillTokensPerMs: number
  runningStreams: number
  /** KV memory in use or promised, in tokens. */
  kvTokensUsed: number
  /** The duration of a decode step now. */
  stepMs: Millis
  /** Leading prompt tokens that its prefix cache holds, as far as known. */
  cachedTokens: number
  /** Share of its pool's recent work over the share that its weight asks for; 1 if both are the same. */
  shareRatio: number
  /** Requests of this box in flight at the endpoint. */
  inFlight: number
}

export type ClosedReason =
  'state' | 'weight' | 'leaving' | 'ejected' | 'resting' | 'no-credit' | 'rate-limit' | 'unknown-load'

/** The link between two failure domains. */
export interface LinkView {
  bytesPerMs: number
  queuedBytes: number
}

/** The endpoints and links that a placement is decided from. */
export interface PlacementView {
  endpoints: EndpointView[]
  /** Links by `from>to`; a missing one has the rate {@link PlacePolicy.defaultBytesPerMs}. */
  links: Map<string, LinkView>
}

/** The parts of the policy; each can be switched off to measure its effect. */
export interface PolicyParts {
  /** Refuse what cannot meet its first-token target. */
  refuseLate: boolean
  /** Account for known prefixes. */
  prefixCache: boolean
  /** Account for links and what is queued on them. */
  links: boolean
  /** Account for the decode batch, and exclude engines too full for the target time between tokens. */
  decodeLoad: boolean
  /** Prefill on the decode engine where that is cheaper than a transfer. */
  localPrefill: boolean
  /** Follow the table's weights. */
  weights: boolean
  /** Choose at random among pairs of nearly equal cost. */
  spread: boolean
}

/** The policy with every part switched on. */
export const ALL_PARTS: PolicyParts = {
  refuseLate: true,
  prefixCache: true,
  links: true,
  decodeLoad: true,
  localPrefill: true,
  weights: true,
  spread: true,
}

/** The operators' cost weights, and the latency targets. */
export interface PlacePolicy {
  goodputWeight: number
  wastedPrefillWeight: number
  ttftTarget: Millis
  tbtTarget: Millis
  defaultBytesPerMs: number
  /** The parts that are switched on. */
  parts: PolicyParts
}

/** The estimated latencies and cost of one pair of engines. */
export interface CandidateFigures {
  prefill: EndpointName
  decode: EndpointName
  waitMs: Millis
  prefillMs: Millis
  transferMs: Millis
  ttftMs: Millis
  tbtMs: Millis
  cost: number
}

/** The two engines that serve a request; the same endpoint twice means no transfer. */
export interface Placement {
  type: 'placed'
  prefill: EndpointName
  decode: EndpointName
  link: string
  linkBytesPerMs: number
  /** KV memory to reserve at the decode engine, in tokens. */
  reserveTokens: number
  kvBytes: number
  figures: CandidateFigures
  candidates: CandidateFigures[]
}

/** No placement now. `retryAfter` estimates after how long one may be possible, in milliseconds. */
export interface Refusal {
  type: 'refused'
  reason: RefusalReason
  retryAfter: Millis
  /** Whether waiting in the queue may help within the target. */
  mayWait: boolean
  candidates: CandidateFigures[]
  closed: { endpoint: EndpointName; reason: string }[]
}

export type RefusalReason =
  'no-endpoint' | 'no-prefill' | 'no-decode' | 'no-memory' | 'no-credit' | 'too-late'

export type PlaceResult = Placement | Refusal

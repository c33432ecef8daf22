import type { EndpointName, EndpointRow, Millis, RequestId } from '@forkstage/types'

/** A model request as placement sees it. */
export interface PlaceRequest {
  request: RequestId
  service: string
  model: string
  promptTokens: number
  /** What the answer will probably need, learned for its class. */
  expectedOutput: number
  kvBytesPerToken: number
  /** How long the caller has waited already. */
  waited: Millis
  /** Endpoints that have failed this request before. */
  avoid: EndpointName[]
}

/** One endpoint as this box knows it: reports joined with what was sent since. */
export interface EndpointView {
  row: EndpointRow
  /** Why it takes no new work from this box now; absent where it does. */
  closed?: ClosedReason
  /** Prompt tokens that wait for prefill there. */
  queuedPrefillTokens: number
  prefillTokensPerMs: number
  runningStreams: number
  /** KV memory in use or promised, in tokens. */
  kvTokensUsed: number
  /** The duration of a decode step now. */
  stepMs: Millis
  /** Leading prompt tokens that its prefix cache holds, as far as known. */
  cachedTokens: number
  /** Share of its pool's recent work over the share that its weight asks for; 1 is just right. */
  shareRatio: number
  /** Requests of this box in flight there. */
  inFlight: number
}

export type ClosedReason =
  'state' | 'weight' | 'leaving' | 'ejected' | 'resting' | 'no-credit' | 'rate-limit' | 'unknown-load'

/** The link between two failure domains. */
export interface LinkView {
  bytesPerMs: number
  queuedBytes: number
}

/** Everything a placement is decided from. */
export interface PlacementView {
  endpoints: EndpointView[]
  /** Links by `from>to`; a missing one is taken as {@link PlacePolicy.defaultBytesPerMs}. */
  links: Map<string, LinkView>
}

/** The parts of the policy; each can be switched off, so that its worth can be measured. */
export interface PolicyParts {
  /** Refuse what cannot meet its first-token target. */
  refuseLate: boolean
  /** Weigh known prefixes. */
  prefixCache: boolean
  /** Weigh links and what is queued on them. */
  links: boolean
  /** Weigh the decode batch and close engines that are too full for the token target. */
  decodeLoad: boolean
  /** Prefill on the decode engine where that is cheaper than a transfer. */
  localPrefill: boolean
  /** Follow the table's weights. */
  weights: boolean
  /** Choose at random among near-equals. */
  spread: boolean
}

/** Every part switched on: the policy as it is meant. */
export const ALL_PARTS: PolicyParts = {
  refuseLate: true,
  prefixCache: true,
  links: true,
  decodeLoad: true,
  localPrefill: true,
  weights: true,
  spread: true,
}

/** What the operators weigh, and the targets. */
export interface PlacePolicy {
  goodputWeight: number
  wastedPrefillWeight: number
  ttftTarget: Millis
  tbtTarget: Millis
  defaultBytesPerMs: number
  /** Bytes a token of KV cache are moved for. */
  parts: PolicyParts
}

/** What one pair of engines would give, in milliseconds and costs. */
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

/** A request is served by these two; the same endpoint twice means no transfer. */
export interface Placement {
  type: 'placed'
  prefill: EndpointName
  decode: EndpointName
  link: string
  linkBytesPerMs: number
  /** KV memory to reserve at the decode engine. */
  reserveTokens: number
  kvBytes: number
  figures: CandidateFigures
  candidates: CandidateFigures[]
}

/** No placement now. `retryAfter` is when one may be had, as far as can be told. */
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

import { FrameReorderBuffer } from '@forkstage/relay'
import type { Placement } from '@forkstage/place'
import type { EndpointName, Millis, RequestId } from '@forkstage/types'
import type { ClaimState, CreateRequestOptions, RequestEffect, RequestPhase } from './requestTypes'

/** A prefill result that an engine keeps until it is fetched or expires. */
export interface KeptPrefill {
  endpoint: EndpointName
  freshTokens: number
  expiresAt: Millis
}

/** The state of one model request on one box. Changed only by {@link stepRequest}. */
export interface RequestState {
  readonly request: RequestId
  readonly options: CreateRequestOptions
  readonly startedAt: Millis
  phase: RequestPhase
  claim: ClaimState
  claimEpoch: number
  attempt: number
  placement?: Placement
  keptPrefill?: KeptPrefill
  /** Endpoints that may hold something for the request and must be released, with the highest epoch sent to each. */
  holds: Map<EndpointName, number>
  /** Whether model work was sent to an engine that has not proved that it did not run it. */
  dispatched: boolean
  avoid: EndpointName[]
  deterministic: boolean
  order: FrameReorderBuffer
  delivered: number
  finish: string
  resumes: number
  lastLineAt: Millis
  /** When to request a placement again after a refusal; only set for an answer that has begun. */
  placeAgainAt?: Millis
  firstTokenAt?: Millis
  /** Why the last attempt failed, for the caller. */
  lastFailure?: { reason: string; step: string; peer?: string }
  effects: RequestEffect[]
}

/** Creates the state of a new request. */
export function createRequest(options: CreateRequestOptions): RequestState {
  return {
    request: options.request,
    options,
    startedAt: options.now,
    phase: 'placing',
    claim: 'pending',
    claimEpoch: 0,
    attempt: 0,
    holds: new Map(),
    dispatched: false,
    avoid: [],
    deterministic: false,
    order: new FrameReorderBuffer(),
    delivered: 0,
    finish: 'stop',
    resumes: 0,
    lastLineAt: options.now,
    effects: [],
  }
}

/** Engine epochs for each claim epoch, so that those of a takeover are higher than all of the earlier owner. */
const ATTEMPTS_PER_CLAIM_EPOCH = 64

/** Returns the epoch that engines get with an attempt: rises with the claim's epoch and with each attempt. */
export function engineEpoch(state: RequestState): number {
  return Math.max(1, state.claimEpoch) * ATTEMPTS_PER_CLAIM_EPOCH + state.attempt
}

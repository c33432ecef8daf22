import { FrameReorderBuffer } from '@forkstage/relay'
import type { Placement } from '@forkstage/place'
import type { EndpointName, Millis, RequestId } from '@forkstage/types'
import type { ClaimState, CreateRequestOptions, RequestEffect, RequestPhase } from './requestTypes'

/** A prefill result that waits to be fetched. */
export interface KeptPrefill {
  endpoint: EndpointName
  freshTokens: number
  expiresAt: Millis
}

/** Everything one box knows of one model request. Changed only by {@link stepRequest}. */
export interface RequestState {
  readonly request: RequestId
  readonly options: CreateRequestOptions
  readonly startedAt: Millis
  phase: RequestPhase
  claim: ClaimState
  claimEpoch: number
  attempt: number
  placement?: Placement
  kept?: KeptPrefill
  /** Endpoints to which anything was sent, with the highest epoch sent: what must be released. */
  holds: Map<EndpointName, number>
  /** Whether any model work was sent anywhere and not proved not to have run. */
  dispatched: boolean
  avoid: EndpointName[]
  deterministic: boolean
  order: FrameReorderBuffer
  delivered: number
  finish: string
  resumes: number
  lastLineAt: Millis
  /** When an answer that has begun and was refused a place asks again. */
  placeAgainAt?: Millis
  firstTokenAt?: Millis
  /** Why the last attempt failed, for the caller. */
  lastFailure?: { reason: string; step: string; peer?: string }
  effects: RequestEffect[]
}

/** Builds the state of a request that has just been read. */
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

/** Attempts of one owner; a takeover leaves room for as many of its own above them. */
const ATTEMPTS_PER_CLAIM_EPOCH = 64

/** The epoch under which an attempt goes to engines: rises with the claim's epoch and with each attempt. */
export function engineEpoch(state: RequestState): number {
  return Math.max(1, state.claimEpoch) * ATTEMPTS_PER_CLAIM_EPOCH + state.attempt
}

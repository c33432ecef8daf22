import type { EngineLine } from '@forkstage/engine-client'
import type { Placement, RefusalReason } from '@forkstage/place'
import type { EndpointName, Execution, Millis, RequestId } from '@forkstage/types'

/** Where a request is. */
export type RequestPhase = 'placing' | 'reserving' | 'prefilling' | 'decoding' | 'ended'

/** Whether this box may answer the request. */
export type ClaimState = 'pending' | 'won' | 'lost'

/** Why a prefill was thrown away before decoding. */
export type WasteCause =
  'cancelled' | 'claim-lost' | 'expired' | 'decode-failed' | 'deadline' | 'transfer-stalled'

/** How a request ended. */
export type RequestEnd =
  | { type: 'answered'; tokens: number; finish: string }
  /** Nothing was dispatched: proved by the dispatch record. */
  | {
      type: 'refused'
      reason: RefusalReason | 'claim-failed' | 'retry-budget'
      retryAfter: Millis
      execution: 'not-run'
    }
  | { type: 'failed'; reason: string; step: string; peer?: string; execution: Execution }
  | { type: 'cancelled' }
  /** Another box holds the claim: the caller is served from there. */
  | { type: 'superseded' }

/** Options of {@link createRequest}. */
export interface CreateRequestOptions {
  request: RequestId
  now: Millis
  deadline: Millis
  /** Without a sign of life from an engine for this long, its stream is resumed or left. */
  stallMs: Millis
  /** How long a reserved slot is held before decoding starts. */
  slotLeaseMs: Millis
  /** Tokens that the caller got from an earlier owner; only the same answer may follow them. */
  deliveredBefore: number
}

/** What can happen to a request. Answers carry the attempt they belong to. */
export type RequestEvent =
  | { type: 'start' }
  | { type: 'claimed'; epoch: number }
  | { type: 'claimLost' }
  | { type: 'claimFailed'; reason: string }
  | { type: 'placed'; attempt: number; placement: Placement; deterministic: boolean }
  | { type: 'refused'; attempt: number; reason: RefusalReason | 'retry-budget'; retryAfter: Millis }
  | { type: 'reserved'; attempt: number }
  | { type: 'prefilled'; attempt: number; freshTokens: number; keepMs: Millis }
  | {
      type: 'stepFailed'
      step: 'reserve' | 'prefill'
      attempt: number
      endpoint: EndpointName
      reason: string
      notRun: boolean
    }
  | { type: 'line'; attempt: number; line: EngineLine }
  | { type: 'streamClosed'; attempt: number; reason: string; notRun: boolean }
  /** A stream of an earlier owner was found alive at an engine; go on there. */
  | { type: 'adopt'; endpoint: EndpointName }
  | { type: 'callerGone' }
  | { type: 'tick' }

/** What the shell must do. */
export type RequestEffect =
  | { type: 'claim' }
  /** Ask placement; `keepPrefill` names an engine whose result is still there. */
  | { type: 'place'; attempt: number; avoid: EndpointName[]; waited: Millis; keepPrefill?: EndpointName }
  | {
      type: 'reserve'
      attempt: number
      epoch: number
      endpoint: EndpointName
      tokens: number
      leaseMs: Millis
    }
  | { type: 'prefill'; attempt: number; epoch: number; endpoint: EndpointName }
  | { type: 'decode'; attempt: number; epoch: number; placement: Placement }
  | { type: 'resume'; attempt: number; epoch: number; endpoint: EndpointName; from: number }
  /** Release until confirmed. */
  | { type: 'release'; endpoint: EndpointName; epoch: number }
  | { type: 'noteDecoding'; endpoint: EndpointName; epoch: number }
  /** Tokens up to this count may go to the caller. */
  | { type: 'deliver'; upTo: number }
  | { type: 'wasted'; tokens: number; cause: WasteCause; endpoint: EndpointName }
  | { type: 'end'; end: RequestEnd }

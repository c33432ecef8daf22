import type { EngineLine } from '@forkstage/engine-client'
import type { Placement, RefusalReason } from '@forkstage/place'
import type { EndpointName, Execution, Millis, RequestId } from '@forkstage/types'

/** The phase that a request is in. */
export type RequestPhase = 'placing' | 'reserving' | 'prefilling' | 'decoding' | 'ended'

/** Whether this box may answer the request. */
export type ClaimState = 'pending' | 'won' | 'lost'

/** Why a prefill result was discarded before decoding. */
export type WasteCause =
  'cancelled' | 'claim-lost' | 'expired' | 'decode-failed' | 'deadline' | 'transfer-stalled'

/** How a request ended. */
export type RequestEnd =
  | { type: 'answered'; tokens: number; finish: string }
  /** No model work was dispatched, as the state of the request shows. */
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
  /** A stream without a line from its engine for this long is resumed or abandoned. */
  stallMs: Millis
  /** How long a reserved slot is held before decoding starts. */
  slotLeaseMs: Millis
  /** How many tokens the caller got from an earlier owner; only the same answer may continue them. */
  deliveredBefore: number
}

/** The events of a request. Those that answer an effect carry the attempt of that effect. */
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
  /** An engine may still run the stream of an earlier owner, which is resumed there. */
  | { type: 'adopt'; endpoint: EndpointName }
  | { type: 'callerGone' }
  | { type: 'tick' }

/** What the runner of a request must carry out. */
export type RequestEffect =
  | { type: 'claim' }
  /** Requests a placement; `keepPrefill` names the engine that still keeps the prefill result. */
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
  /** Releases what the endpoint holds; retried until confirmed. */
  | { type: 'release'; endpoint: EndpointName; epoch: number }
  | { type: 'noteDecoding'; endpoint: EndpointName; epoch: number }
  /** Tokens up to this count may be sent to the caller. */
  | { type: 'deliver'; upTo: number }
  | { type: 'wasted'; tokens: number; cause: WasteCause; endpoint: EndpointName }
  | { type: 'end'; end: RequestEnd }

import type { Address, BoxId, EndpointName, Execution, Millis, RequestId } from '@forkstage/types'

/** The process that runs a request. A box whose process restarted is a different owner. */
export interface ClaimOwner {
  box: BoxId
  incarnation: string
  address: Address
}

/** The outcome of a request, returned when the request is sent again. */
export interface Outcome {
  execution: Execution
  status: number
  headers: Record<string, string>
  /** The response body as base64; absent if it was too large to keep. */
  body?: string
  /** SHA-256 of the response body, in hex. */
  digest: string
  /** Length of the response body in bytes. */
  bytes: number
}

/** The claim of one request key. */
export interface Claim {
  key: string
  /** SHA-256 of the request, so that its key is not used for another request. */
  bodyDigest: string
  request: RequestId
  epoch: number
  owner: ClaimOwner
  repeatable: boolean
  /** Journal time of the claim, and of its outcome, in milliseconds. */
  claimedAt: Millis
  settledAt?: Millis
  /** Where the running attempt decodes; absent until decoding has begun. */
  decode?: { endpoint: EndpointName; epoch: number }
  outcome?: Outcome
}

export type JournalCommand =
  | {
      type: 'claim'
      key: string
      bodyDigest: string
      request: RequestId
      owner: ClaimOwner
      repeatable: boolean
    }
  /** Takes over a repeatable request from an owner that has ended. */
  | { type: 'takeover'; key: string; epoch: number; owner: ClaimOwner }
  | { type: 'decoding'; key: string; epoch: number; endpoint: EndpointName; attempt: number }
  | { type: 'settle'; key: string; epoch: number; outcome: Outcome }
  /**
   * Removes the claim of a request that was cancelled or failed without an outcome, and that may run again:
   * it is repeatable or provably did not run.
   */
  | { type: 'forget'; key: string; epoch: number }
  /** Advances journal time by what the leader's monotonic clock measured. */
  | { type: 'tick'; elapsed: Millis }

export type JournalResult =
  | { type: 'new'; epoch: number; request: RequestId }
  | { type: 'running'; claim: Claim }
  | { type: 'done'; claim: Claim }
  | { type: 'mismatch' }
  | { type: 'full' }
  /** The epoch is not the newest: another owner has taken over. */
  | { type: 'fenced' }
  | { type: 'unknown' }
  | { type: 'ok' }

/** Limits of a journal group. */
export interface JournalLimits {
  /** How long a settled claim is kept after its outcome. */
  retainMs: Millis
  /** Open claims are kept for `retainMs` and this long after they were made. */
  openMs: Millis
  maxClaims: number
  /** Limit of the total length of the kept response bodies, as base64. */
  maxOutcomeBytes: number
}

import type { Address, BoxId, EndpointName, Execution, Millis, RequestId } from '@forkstage/types'

/** The box that runs a request: a restarted process is another owner. */
export interface ClaimOwner {
  box: BoxId
  incarnation: string
  address: Address
}

/** What became of a request, as it is handed back for a resend. */
export interface Outcome {
  execution: Execution
  status: number
  headers: Record<string, string>
  /** The answer's bytes as base64; absent where it was too large to keep. */
  body?: string
  /** SHA-256 of the answer's bytes, in hex. */
  digest: string
  bytes: number
}

/** One request key. */
export interface Claim {
  key: string
  /** SHA-256 of the request, so that a key is not used for another one. */
  bodyDigest: string
  request: RequestId
  epoch: number
  owner: ClaimOwner
  repeatable: boolean
  /** Journal time of the claim, and of its outcome. */
  claimedAt: Millis
  settledAt?: Millis
  /** Where the stream of the running attempt is, once decoding has begun. */
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
  /** Takes a repeatable request over from an owner that is gone. */
  | { type: 'takeover'; key: string; epoch: number; owner: ClaimOwner }
  | { type: 'decoding'; key: string; epoch: number; endpoint: EndpointName; attempt: number }
  | { type: 'settle'; key: string; epoch: number; outcome: Outcome }
  /** Gives the key up without an outcome: a repeatable request that was cancelled or proved not run. */
  | { type: 'forget'; key: string; epoch: number }
  /** Journal time passes by what the leader's monotonic clock measured. */
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

/** Bounds of a journal group. */
export interface JournalLimits {
  retainMs: Millis
  /** Open claims are kept at least this long after they were made. */
  openMs: Millis
  maxClaims: number
  /** Outcomes kept whole may add up to this. */
  maxOutcomeBytes: number
}

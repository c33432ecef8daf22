import type { CacheEvent } from '@forkstage/engine-client'
import type { BoxId, EndpointName, Millis } from '@forkstage/types'
import type { PackedReport } from './reportCodec'

/** What a box asks for at one endpoint, by position, since it asks for many several times a second. */
export type PackedDemand = [
  endpoint: EndpointName,
  inFlight: number,
  waiting: number,
  cacheAfter: number,
  /** Prompt tokens this box has sent there that are not prefilled yet. */
  prefillTokens: number,
]

/** A box asks the owner for its shares of several endpoints at once. */
export interface CreditRequest {
  box: BoxId
  endpoints: PackedDemand[]
}

/** One endpoint's share with its news, by position. */
export type PackedCredit = [
  share: number,
  /** Prompt tokens a second for this box; null without a limit. */
  promptTokensPerSecond: number | null,
  /** The last cache event there is, to ask from next time. */
  cacheSeq: number,
  /** Null while the owner has none. */
  report: PackedReport | null,
  /** Prompt tokens that the other boxes have sent there and that are not prefilled yet. */
  othersPrefillTokens: number,
  /** Left out where there are none. */
  cacheEvents?: CacheEvent[],
]

/** The owner's answer: a credit for each endpoint asked for, in that order; null where it is not the owner. */
export interface CreditAnswer {
  /** The owner's epoch; a lower one than was seen before comes from an owner of the past. */
  epoch: [number, number]
  leaseMs: Millis
  credits: (PackedCredit | null)[]
}

/** Asks a box which of these requests it runs. */
export interface LiveRequestsQuery {
  requests: string[]
}

export interface LiveRequestsAnswer {
  live: string[]
}

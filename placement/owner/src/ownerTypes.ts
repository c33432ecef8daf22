import type { CacheEvent } from '@forkstage/engine-client'
import type { BoxId, EndpointName, Millis } from '@forkstage/types'
import type { PackedReport } from './reportCodec'

/** A box's demand at one endpoint. A tuple, since a box sends many of them several times a second. */
export type PackedDemand = [
  endpoint: EndpointName,
  inFlight: number,
  waiting: number,
  cacheAfter: number,
  /** Prompt tokens that this box has sent to the endpoint and that are not prefilled yet. */
  prefillTokens: number,
]

/** A box's request to an owner for its shares of several endpoints. */
export interface CreditRequest {
  box: BoxId
  endpoints: PackedDemand[]
}

/** A box's share of one endpoint, with what the owner knows about the endpoint, as a tuple. */
export type PackedCredit = [
  share: number,
  /** Prompt tokens a second for this box; null without a limit. */
  promptTokensPerSecond: number | null,
  /** The cache event after which the box's next request continues. */
  cacheSeq: number,
  /** Null while the owner has none. */
  report: PackedReport | null,
  /** Prompt tokens that the other boxes have sent to the endpoint and that are not prefilled yet. */
  othersPrefillTokens: number,
  /** Left out where there are none. */
  cacheEvents?: CacheEvent[],
]

/** The owner's answer: a credit for each requested endpoint, in that order; null if this box does not own it. */
export interface CreditAnswer {
  /** The owner's epoch; one lower than the newest known is of a former owner. */
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

import type { CacheEvent } from '@forkstage/engine-client'
import type { Demand } from '@forkstage/load'
import type { BoxId, EndpointName, Millis } from '@forkstage/types'
import type { PackedReport } from './reportCodec'

/** A box asks the owner for its shares of several endpoints at once. */
export interface CreditQuestion {
  box: BoxId
  endpoints: (Demand & { endpoint: EndpointName; cacheAfter: number })[]
}

/** The owner's answer for one endpoint. */
export interface CreditAnswer {
  endpoint: EndpointName
  /** The owner's epoch; a lower one than was seen before comes from an owner of the past. */
  epoch: [number, number]
  share: number
  leaseMs: Millis
  /** Prompt tokens a second for this box; null without a limit. */
  promptTokensPerSecond: number | null
  report?: PackedReport
  /** Absent where there are none. */
  cacheEvents?: CacheEvent[]
  /** The last cache event there is, to ask from next time. */
  cacheSeq: number
}

/** Asks a box which of these requests it runs. */
export interface LiveQuestion {
  requests: string[]
}

export interface LiveAnswer {
  live: string[]
}

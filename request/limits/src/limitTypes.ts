import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { AdvertisedRate } from './rateTable'

/** RPC method by which an entry reports advertised rates to the leader and asks for permits. */
export const LIMIT_REPORT = 'limits.report'

/** An entry's report on one endpoint that has advertised a rate. */
export interface EndpointReport {
  word: AdvertisedRate
  /** Permits that the entry could use until its next report, on top of those that it holds. */
  wanted: number
  /** Permits that have expired unused since the last report. */
  returned: number
}

/** An entry's report to the leader. */
export interface LimitReport {
  entry: string
  endpoints: Record<InstanceId, EndpointReport>
}

/** The leader's answer for one endpoint. */
export interface LimitGrant {
  word: AdvertisedRate
  /** Requests that the entry may send there, each within {@link PERMIT_LIFETIME_MS} of its report. */
  permits: number
}

/** The leader's answer to a {@link LimitReport}. */
export interface LimitAnswer {
  /** Absent if the machine that was asked is not the leader. */
  grants?: Record<InstanceId, LimitGrant>
}

/** Lifetime of a permit, counted from when the entry asked for it: one report interval plus time for the round trip. */
export const PERMIT_LIFETIME_MS: Millis = 700
/** A step that the leader has placed is sent within this time; it counts from when it was placed. */
export const PLACED_SEND_LIMIT_MS: Millis = 1_000

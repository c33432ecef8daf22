import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { AdvertisedRate } from './rateTable'

/** The method by which an entry tells the leader of named rates and asks for permits. */
export const LIMIT_REPORT = 'limits.report'

/** What an entry says of one endpoint that has named a rate. */
export interface EndpointReport {
  word: AdvertisedRate
  /** Permits that it could use until its next report, beside those that it has. */
  wanted: number
  /** Permits that have run out unused since its last report. */
  returned: number
}

/** What an entry tells the leader. */
export interface LimitReport {
  entry: string
  endpoints: Record<InstanceId, EndpointReport>
}

/** What the leader says of one endpoint. */
export interface LimitGrant {
  word: AdvertisedRate
  /** Requests that the entry may send there, each within {@link PERMIT_LIFETIME_MS} of its report. */
  permits: number
}

/** What the leader answers. */
export interface LimitAnswer {
  /** Absent where the machine that was asked does not lead. */
  grants?: Record<InstanceId, LimitGrant>
}

/** How long a permit lasts from when it was asked for: a report later with some time for the ways, so that none is left to chance. */
export const PERMIT_LIFETIME_MS: Millis = 700
/** A step that the leader has placed leaves within this time at the latest; it counted when it was placed. */
export const PLACED_SEND_LIMIT_MS: Millis = 1_000

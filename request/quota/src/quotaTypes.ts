import type { Millis } from '@forkstage/types'

/** The method by which an entry reports to the leader what it has admitted, and gets grants in return. */
export const QUOTA_REPORT = 'quota.report'

/** What one entry has admitted for one workspace, in the units of the workspace's quota. */
export interface SpentReport {
  /** The incarnation of the entry: after a restart the entry does not know what it spent before. */
  life: string
  /** Units spent within the last window, without those refunded. */
  recent: number
  /** What callers request at the moment, refused or not, in units a second. */
  askedPerSecond: number
  /** The same over a longer time, since few requests make a rate uneven; sets the entry's share of what is left. */
  demandPerSecond: number
}

/** An entry's report to the leader. */
export interface QuotaReport {
  entry: string
  /** By workspace; only workspaces used within the last two windows. */
  spent: Record<string, SpentReport>
}

/** What an entry may admit for one workspace from its report on, until the next grant. */
export interface QuotaGrant {
  /** Units; below 0 if too much was spent already. */
  units: number
  /** The entry's share of the demand at all entries, from 0 to 1. */
  share: number
}

/** The leader's answer to a report. */
export interface QuotaAnswer {
  /** By workspace; absent while a new leader still collects the reports of the entries. */
  grants?: Record<string, QuotaGrant>
}

/** Whether a request is within its workspace's quota. */
export type QuotaVerdict =
  | { type: 'admitted'; spent: QuotaCharge }
  | { type: 'over'; level: number; ageMs: Millis; isAlone: boolean; retryAfterMs: Millis }

/** The units charged for a request. */
export interface QuotaCharge {
  /** Refunds the units of a request that no endpoint has run. Called once at most. */
  refund(): void
}

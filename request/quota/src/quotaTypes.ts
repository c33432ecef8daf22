import type { Millis } from '@forkstage/types'

/** The method by which an entry tells the leader what it has let through, and hears what is left. */
export const QUOTA_REPORT = 'quota.report'

/** What one entry has let through for one workspace, in the units of its quota. */
export interface SpentReport {
  /** Names the life of the entry that says so: after a restart it knows nothing of what it spent before. */
  life: string
  /** Within the last window, without what was given back. */
  recent: number
  /** What callers ask for at the moment, refused or not, in units a second. */
  askedPerSecond: number
  /** The same over a longer time, which tells the entry's part of what is left; few requests make a rate uneven. */
  demandPerSecond: number
}

/** What an entry tells the leader. */
export interface QuotaReport {
  entry: string
  /** By workspace, those used within the last two windows. */
  spent: Record<string, SpentReport>
}

/** What an entry may let through for one workspace from its report on, until it hears again. */
export interface QuotaGrant {
  /** Units; below 0 where too much was spent already. */
  units: number
  /** The entry's part of what is asked of all, from 0 to 1. */
  share: number
}

/** What the leader answers. */
export interface QuotaAnswer {
  /** Absent while a new leader has not heard from the entries yet. */
  grants?: Record<string, QuotaGrant>
}

/** Whether a request may go on. */
export type QuotaVerdict =
  | { type: 'admitted'; spent: QuotaCharge }
  | { type: 'over'; level: number; ageMs: Millis; isAlone: boolean; retryAfterMs: Millis }

/** What was spent for a request. */
export interface QuotaCharge {
  /** Gives it back: no endpoint has run the request. Called once at most. */
  refund(): void
}

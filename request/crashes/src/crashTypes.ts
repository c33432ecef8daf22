import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'

/** One start of an endpoint's process. */
export type Incarnation = string

/** What is known of one content: what it was at work at when that ended. Merged in any order it gives the same. */
export interface CrashRecord {
  content: ContentDigest
  /** The service that its requests go to; absent where whoever says so does not name it. */
  service?: string
  /** Lives that ended under it. */
  ended: Incarnation[]
  /** Those of them where it had only just begun. */
  early: Incarnation[]
  /** Those of them before it last got a whole answer: they say nothing against it any more. */
  served: Incarnation[]
  /** Whether it got a whole answer since an end, or within a minute before one; absent where none is known. */
  wasServed?: boolean
  /** Since the last of them was noted, by the clock of whoever says so: clocks need not agree. */
  ageMs: Millis
}

/** Why a content is sent to no endpoint any more. */
export interface ContentRefusal {
  /** How many lives it is blamed for. */
  ends: number
  /** For how much longer. */
  leftMs: Millis
}

/** What an entry found out at one endpoint that has ended. */
export interface ContentAtCrash {
  content: ContentDigest
  /** Whether it had only just begun there. */
  isEarly: boolean
}

/** The method by which an entry tells the leader what ended under which content. */
export const CRASH_REPORT = 'crashes.report'

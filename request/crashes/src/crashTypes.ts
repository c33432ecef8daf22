import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { PartDigest } from './partDigest'

/** Identifies one start of an endpoint's process. */
export type Incarnation = string

/** What crashes are attributed to: the content of a request, or a part of prompts. */
export type SubjectDigest = ContentDigest | PartDigest

/** What one request may be refused for. */
export interface RequestSubjects {
  content: () => ContentDigest
  /** The prompt parts that it may share with other requests to a service. */
  parts: (service: string) => PartDigest[]
}

/** The crashes known of one subject. Merging is commutative and idempotent. */
export interface CrashRecord {
  /** The subject, a content or a part. */
  content: SubjectDigest
  /** The service that the requests go to; absent where the reporter does not name it. */
  service?: string
  /** Incarnations that crashed while the content was running there. */
  ended: Incarnation[]
  /** Those of `ended` where the content had only just begun to run. */
  early: Incarnation[]
  /** Those of `ended` that crashed before the content last got a complete response; they no longer count against it. */
  served: Incarnation[]
  /**
   * Whether the content got a complete response after a crash, or within a minute before one; absent where none is
   * known.
   */
  wasServed?: boolean
  /** Time since the last crash was recorded. An age, so that the clocks of machines need not agree. */
  ageMs: Millis
}

/** Why a content is refused. */
export interface ContentRefusal {
  /** The number of crashes that the content is blamed for. */
  ends: number
  /** How much longer it is refused. */
  leftMs: Millis
  /** The prompt part that is most to blame; absent where the whole content is. */
  part?: PartDigest
}

/** A content that was running at an endpoint when it crashed. */
export interface ContentAtCrash {
  content: ContentDigest
  /** Whether the content had only just begun to run there. */
  isEarly: boolean
  /** Parts of its prompt; absent if the endpoint had begun to write the answer, which clears them. */
  parts?: PartDigest[]
}

/** RPC method by which an entry reports crashes to the leader. */
export const CRASH_REPORT = 'crashes.report'

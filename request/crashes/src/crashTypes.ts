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
  /** Those of `ended` that one cause took together with others, and that do not count; absent where there are none. */
  excused?: Incarnation[]
  /**
   * Whether the content got a complete response after a crash, or within a minute before one; absent where none is
   * known.
   */
  wasServed?: boolean
  /** Time since the last crash was recorded. An age, so that the clocks of machines need not agree. */
  ageMs: Millis
}

/** Where endpoints stand, by the directory of this machine. */
export interface CrashTopology {
  /** The failure domain of an incarnation; undefined if it is not known. */
  domainOf: (incarnation: Incarnation) => string | undefined
  /** The number of endpoints of a service, in one failure domain or in all. */
  countEndpoints: (service: string, domain?: string) => number
}

/** Why a content is refused. */
export interface ContentRefusal {
  /** The number of crashes that the content is blamed for. */
  ends: number
  /** How much longer it is refused. */
  leftMs: Millis
  /** The prompt part that is most to blame; absent where the whole content is. */
  part?: PartDigest
  /**
   * How long to wait before the refusal is certain; absent if it is. Until then it may turn out that the crashes had
   * another cause.
   */
  openMs?: Millis
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

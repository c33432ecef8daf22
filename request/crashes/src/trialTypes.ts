import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'

/** The method by which an entry asks the leader for an endpoint where a content runs alone. */
export const TRIAL_REQUEST = 'crashes.trial'
/** The method by which it tells that the run has ended there, however. */
export const TRIAL_END = 'crashes.trial-end'

/** What an entry asks. */
export interface TrialRequest {
  service: string
  content: ContentDigest
  /**
   * The request that asks only for the next turn of its content, which then runs anywhere, and may run again in its turn;
   * absent where it must run isolated.
   */
  turnOf?: string
  /** What the entry knows of the content: a new leader may know less. */
  records?: unknown
}

/** Where a content may run alone, or when to ask again. */
export type TrialAnswer =
  | { type: 'granted'; endpoint: InstanceId; forMs: Millis }
  | { type: 'later'; retryAfterMs: Millis }
  /** It is its turn, or the service has too few endpoints to keep one free. */
  | { type: 'anywhere' }
  /** It asked for a turn, and must run isolated by what the leader knows. */
  | { type: 'isolate' }

/** What an entry tells once its run has ended. */
export interface TrialEnd extends TrialRequest {
  /** Where it ran isolated; absent at the end of a turn. */
  endpoint?: InstanceId
}

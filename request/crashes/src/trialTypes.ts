import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'

/** The method by which an entry asks the leader for an endpoint where a content runs alone. */
export const TRIAL_ASK = 'crashes.trial'
/** The method by which it tells that the run has ended there, however. */
export const TRIAL_END = 'crashes.trial-end'

/** What an entry asks. */
export interface TrialAsk {
  service: string
  content: ContentDigest
}

/** Where a content may run alone, or when to ask again. */
export type TrialAnswer =
  | { type: 'granted'; endpoint: InstanceId; forMs: Millis }
  | { type: 'later'; retryAfterMs: Millis }
  /** The service has too few endpoints to keep one free. */
  | { type: 'anywhere' }

/** What an entry tells once its run has ended. */
export interface TrialEnd extends TrialAsk {
  endpoint: InstanceId
}

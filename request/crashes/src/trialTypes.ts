import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'

/** RPC method by which an entry asks the leader for an endpoint where a content runs in isolation. */
export const TRIAL_REQUEST = 'crashes.trial'
/** RPC method by which an entry reports that such a run has ended, whatever its outcome. */
export const TRIAL_END = 'crashes.trial-end'

/** An entry's request to run a content. */
export interface TrialRequest {
  service: string
  content: ContentDigest
  /**
   * Id of a request that asks only for the next turn of its content: it may then run at any endpoint, and run again
   * during its turn. Absent where the content must run in isolation.
   */
  turnOf?: string
  /** The crash records that the entry has of the content; a new leader may have fewer. */
  records?: unknown
}

/** The leader's answer to a {@link TrialRequest}. */
export type TrialAnswer =
  | { type: 'granted'; endpoint: InstanceId; forMs: Millis }
  | { type: 'later'; retryAfterMs: Millis }
  /** The turn is granted, or the service has too few endpoints to reserve one. */
  | { type: 'anywhere' }
  /** A turn was requested, but the leader knows that the content must run in isolation. */
  | { type: 'isolate' }

/** An entry's report that a run has ended. */
export interface TrialEnd extends TrialRequest {
  /** Where the content ran in isolation; absent at the end of a turn. */
  endpoint?: InstanceId
}

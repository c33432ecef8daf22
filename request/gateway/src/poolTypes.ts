import type { Stage } from '@forkstage/directory'
import type { AllowedRegions } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'

/** Criteria for the instances of a service. */
export interface CandidateQuery {
  stage?: Stage
  /** Instances that are not to be chosen. */
  except?: ReadonlySet<string>
  /** The regions in which they may be; any where left out. */
  regions?: AllowedRegions
  /** The software version that they must have; any where left out. */
  softwareVersion?: string
}

/** Why no instance that a request could go to accepts requests from this entry, and for how long. */
export interface PoolUnavailability {
  reason: string
  /** Milliseconds until the first of them may get a request. */
  leftMs: Millis
  /** Backoff for the caller, randomized so that retries are spread. */
  retryAfterMs: Millis
}

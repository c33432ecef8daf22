/** Reads and tracks what endpoints announce in their responses: Retry-After and that they leave. */
export { flattenHeaders } from './flattenHeaders'
export { readRetryAfter } from './readRetryAfter'
export type { AnswerFields, RetryAfter } from './readRetryAfter'
export {
  RETRY_AFTER_REASON,
  LEAVING_GRACE_MS,
  LEAVING_REASON,
  AvailabilityTracker,
} from './availabilityTracker'
export type { Unavailability, AvailabilityTrackerOptions } from './availabilityTracker'

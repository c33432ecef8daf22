/** What endpoints say in their answers of what they want from this machine. */
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

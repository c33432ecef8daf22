import { NO_VERSION_REASON } from '@forkstage/allocator'
import { UNCERTAIN_VERSION } from '@forkstage/origins'
import type { AttemptFailure } from './decideRetry'
import type { RelayJob, RelayParts } from './relayParts'
import type { FailedAttempt } from './streamAttempt'

/** Returns how an attempt failed, as the decision about the next one sees it. */
export function toFailure({ pool }: RelayParts, job: RelayJob, attempt: FailedAttempt): AttemptFailure {
  if (attempt.type === 'denied') return { type: 'refused' }
  if (attempt.type !== 'refused' || attempt.reason !== NO_VERSION_REASON) return attempt
  // A leader that has just started may not know all engines yet, and the version may become certain again.
  const isFinal =
    job.boundVersion !== UNCERTAIN_VERSION && !pool.hasVersion(job.service.name, job.boundVersion!)
  return { ...attempt, isFinal }
}

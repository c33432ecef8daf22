import type { Millis } from '@forkstage/types'
import type { Attempt } from './engineStream'
import type { PlaceAnswer } from './modelPlacer'

/** Tries after which nothing follows. */
type FinalAttempt = { type: 'over' | 'done' | 'passed' }

/** How one try at a stream ended: it got no place, or what became of it there. */
export type AttemptResult = Attempt | Extract<PlaceAnswer, { type: 'refused' }>

/** A try that brought no answer. */
export type FailedAttempt = Exclude<AttemptResult, FinalAttempt>

const RETRY_AFTER_MS = 600

/** Why a try failed, for the log and the caller. */
export function reasonOf(attempt: FailedAttempt): string {
  return attempt.type === 'denied' ? 'no repeated sending is left' : attempt.reason
}

/** When to come back after a request that was not run. */
export function retryAfterOf(attempt?: FailedAttempt): Millis {
  return attempt?.type === 'refused' ? attempt.retryAfterMs : RETRY_AFTER_MS
}

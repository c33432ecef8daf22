import type { Millis } from '@forkstage/types'
import type { Attempt } from './engineStream'
import type { PlaceAnswer } from './modelPlacer'

/** Attempts after which no other follows. */
type FinalAttempt = { type: 'over' | 'done' | 'passed' }

/** How one attempt at a stream ended: without a placement, or at the engine of its placement. */
export type AttemptResult = Attempt | Extract<PlaceAnswer, { type: 'refused' }>

/** An attempt without an answer. */
export type FailedAttempt = Exclude<AttemptResult, FinalAttempt>

const RETRY_AFTER_MS = 600
/** Why an answer ends after its run was stopped for a migration. */
export const NOT_RESUMED = 'nothing goes on from the memory of the stopped run'

/** Returns why an attempt failed, for the log and the caller. */
export function reasonOf(attempt: FailedAttempt): string {
  return attempt.type === 'denied' ? 'no repeated sending is left' : attempt.reason
}

/** Returns the time after which the caller may retry a request that was not run, in milliseconds. */
export function retryAfterOf(attempt?: FailedAttempt): Millis {
  return attempt?.type === 'refused' ? attempt.retryAfterMs : RETRY_AFTER_MS
}

import type { Millis } from '@forkstage/types'
import type { Attempt } from './engineStream'
import type { PlaceAnswer } from './modelPlacer'

/** Tries after which nothing follows. */
type Ended = { type: 'over' | 'done' | 'passed' }

/** How one try at a stream ended: it got no place, or what became of it there. */
export type Tried = Attempt | Extract<PlaceAnswer, { type: 'refused' }>

/** A try that brought no answer. */
export type Unanswered = Exclude<Tried, Ended>

const COME_BACK_MS = 600

/** Why a try failed, for the log and the caller. */
export function reasonOf(tried: Unanswered): string {
  return tried.type === 'denied' ? 'no repeated sending is left' : tried.reason
}

/** When to come back after a request that was not run. */
export function comeBackMs(tried?: Unanswered): Millis {
  return tried?.type === 'refused' ? tried.retryAfterMs : COME_BACK_MS
}

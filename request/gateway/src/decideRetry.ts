import type { Millis } from '@forkstage/types'
import { ANSWER_MARGIN_MS } from './relayParts'

/**
 * How a try at an answer failed. `refused`: no place, no sending is left, or nothing there may be used now. `not-run`: an
 * engine that was sent to proves that it did not run, `arrived` where it says so itself. `lost`: an engine has broken off.
 */
export type AttemptFailure = { type: 'refused' } | { type: 'not-run'; arrived: boolean } | { type: 'lost' }

/** What is known when a try has failed. */
export interface RetryState {
  /** Whether the caller has the head of its answer. */
  hasBegun: boolean
  /** Whether an answer that has begun may be made anew from where it is. */
  isResumable: boolean
  /** Until the caller's time or the route's is up. */
  leftMs: Millis
  /** Tries that ended as not run, this one included. */
  refusals: number
  /** Whether the route lets one more engine run it. */
  hasEngineLeft: boolean
  /** Whether the entries' allowance lets one more sending leave; asked only where that decides. */
  hasSendingLeft: () => boolean
  /** Waits in a row, without an event between them. */
  waits: number
}

/** What follows a try that has failed. */
export type RetryDecision = { type: 'end' } | { type: 'again'; afterMs: Millis }

/** Less time than this is not worth another try. */
const MIN_TIME_LEFT_MS: Millis = ANSWER_MARGIN_MS * 2
const MAX_REFUSALS = 3
/** An engine ends an answer every some ten milliseconds, so that one that was full a moment ago may have room. */
const FIRST_DELAY_MS: Millis = 50
/** While all turn it away, an answer that has begun asks so seldom that it costs whoever places less than reporting it does. */
const MAX_DELAY_MS: Millis = 400

const END: RetryDecision = { type: 'end' }
const RETRY_NOW: RetryDecision = { type: 'again', afterMs: 0 }

/**
 * Decides whether another try follows. A request that has not begun may be refused, and its caller comes back; one that
 * has begun has nobody else to go to: no refusal ends it while there is time, as long as it may go on anywhere.
 */
export function decideRetry(failure: AttemptFailure, state: RetryState): RetryDecision {
  if (state.leftMs < MIN_TIME_LEFT_MS) return END
  return state.hasBegun ? decideBegun(failure, state) : decideNotBegun(failure, state)
}

function decideBegun(
  failure: AttemptFailure,
  { isResumable, hasEngineLeft, waits }: RetryState,
): RetryDecision {
  if (!isResumable) return END
  if (failure.type === 'lost') return hasEngineLeft ? RETRY_NOW : END
  return { type: 'again', afterMs: retryDelayMs(waits) }
}

function decideNotBegun(failure: AttemptFailure, state: RetryState): RetryDecision {
  if (failure.type === 'refused' || state.refusals > MAX_REFUSALS) return END
  if (failure.type === 'not-run' && !failure.arrived) return RETRY_NOW
  if (failure.type === 'lost' && !state.isResumable) return END
  return state.hasEngineLeft && state.hasSendingLeft() ? RETRY_NOW : END
}

/** How long to wait after so many waits in a row. */
export function retryDelayMs(waits: number): Millis {
  return Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** waits)
}

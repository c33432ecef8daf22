import type { Millis } from '@forkstage/types'
import { ANSWER_MARGIN_MS } from './relayParts'

/**
 * How an attempt failed. `refused`: no placement or no usable engine, or the retry budget is used up; `isFinal` if that will not
 * change. `not-run`: the request
 * provably did not run at the engine; `arrived` if the engine itself said so. `lost`: the engine broke off and may have run it.
 */
export type AttemptFailure =
  { type: 'refused'; isFinal?: boolean } | { type: 'not-run'; arrived: boolean } | { type: 'lost' }

/** State of a request after a failed attempt. */
export interface RetryState {
  /** Whether the caller has received the response head. */
  hasBegun: boolean
  /** Whether the route lets another engine regenerate the rest of an answer. */
  isResumable: boolean
  /** Time left until the deadline of the caller or of the route, whichever is earlier. */
  leftMs: Millis
  /** Attempts that ended as `not-run`, including this one. */
  refusals: number
  /** Whether the route allows one more engine to run the request. */
  hasEngineLeft: boolean
  /** Whether the retry budget allows one more sending; called only when the decision depends on it. */
  hasSendingLeft: () => boolean
  /** Consecutive waits without an event in between. */
  waits: number
}

/** What follows a failed attempt: the end of the request, or another attempt after a delay. */
export type RetryDecision = { type: 'end' } | { type: 'again'; afterMs: Millis }

/** With less time left than this, no further attempt is made. */
const MIN_TIME_LEFT_MS: Millis = ANSWER_MARGIN_MS * 2
const MAX_REFUSALS = 3
/** A busy engine finishes an answer every few tens of milliseconds, so a full one may have room again after this. */
const FIRST_DELAY_MS: Millis = 50
/** Keeps the placement requests of a waiting answer cheaper for the leader than its progress reports. */
const MAX_DELAY_MS: Millis = 400

const END: RetryDecision = { type: 'end' }
const RETRY_NOW: RetryDecision = { type: 'again', afterMs: 0 }

/**
 * Decides whether another attempt follows. Before the response head is sent, the request may be refused, and its caller can
 * retry. Afterwards the caller cannot retry without losing the answer, so a resumable one is retried until its time is up.
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
  if (failure.type === 'refused' && failure.isFinal === true) return END
  return { type: 'again', afterMs: retryDelayMs(waits) }
}

function decideNotBegun(failure: AttemptFailure, state: RetryState): RetryDecision {
  if (failure.type === 'refused' || state.refusals > MAX_REFUSALS) return END
  if (failure.type === 'not-run' && !failure.arrived) return RETRY_NOW
  if (failure.type === 'lost' && !state.isResumable) return END
  return state.hasEngineLeft && state.hasSendingLeft() ? RETRY_NOW : END
}

/** Returns the delay before the next attempt, which doubles with each consecutive wait up to {@link MAX_DELAY_MS}. */
export function retryDelayMs(waits: number): Millis {
  return Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** waits)
}

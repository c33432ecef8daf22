import { assertInvariant } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import type { RequestState } from './requestState'
import type { RequestEnd, WasteCause } from './requestTypes'

/** Ends a request: releases everything that it may hold, and emits the end once. */
export function endRequest(state: RequestState, end: RequestEnd): void {
  assertInvariant(state.phase !== 'ended', 'a request ends once', () => state.request)
  assertEndConsistent(state, end)
  discardKeptPrefill(state, wasteCauseOf(end))
  // A finished stream holds no memory; the engine drops its text by itself.
  const stillHolds = end.type !== 'answered'
  for (const [endpoint, epoch] of state.holds) {
    const decodedHere = endpoint === state.placement?.decode
    if (stillHolds || !decodedHere) state.effects.push({ type: 'release', endpoint, epoch })
  }
  state.holds.clear()
  state.phase = 'ended'
  state.effects.push({ type: 'end', end })
}

/** Ends a request without an answer: as not run if no model work was dispatched, else as one that may have run. */
export function failRequest(
  state: RequestState,
  reason: string,
  step: string,
  peer: string | undefined,
): void {
  const execution = state.dispatched ? 'may-have-run' : 'not-run'
  endRequest(state, { type: 'failed', reason, step, peer, execution })
}

/** Refuses a request; one that has been dispatched fails instead, since it may have run. */
export function refuseRequest(
  state: RequestState,
  reason: Extract<RequestEnd, { type: 'refused' }>['reason'],
  retryAfter: Millis,
): void {
  if (!state.dispatched)
    return endRequest(state, { type: 'refused', reason, retryAfter, execution: 'not-run' })
  const failure = state.lastFailure ?? { reason, step: 'place' }
  failRequest(state, failure.reason, failure.step, failure.peer)
}

/** Discards a kept prefill result and counts its tokens as wasted. */
export function discardKeptPrefill(state: RequestState, cause: WasteCause): void {
  if (state.keptPrefill === undefined) return
  const { endpoint, freshTokens } = state.keptPrefill
  state.keptPrefill = undefined
  state.effects.push({ type: 'wasted', tokens: freshTokens, cause, endpoint })
}

function wasteCauseOf(end: RequestEnd): WasteCause {
  if (end.type === 'cancelled') return 'cancelled'
  if (end.type === 'superseded') return 'claim-lost'
  return end.type === 'failed' && end.reason === 'deadline' ? 'deadline' : 'decode-failed'
}

function assertEndConsistent(state: RequestState, end: RequestEnd): void {
  const reportsNotRun = (end.type === 'refused' || end.type === 'failed') && end.execution === 'not-run'
  assertInvariant(
    !reportsNotRun || !state.dispatched,
    'a request reported as not run never ran',
    () => state.request,
  )
  const answers = end.type === 'answered'
  assertInvariant(
    !answers || state.claim === 'won',
    'only the owner of the claim answers',
    () => state.request,
  )
  assertInvariant(
    !answers || state.order.isComplete,
    'an answer ends only when it is complete',
    () => state.request,
  )
}

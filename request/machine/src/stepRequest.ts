import type { EngineLine } from '@forkstage/engine-client'
import type { Placement } from '@forkstage/place'
import type { EndpointName, Millis } from '@forkstage/types'
import { FrameReorderBuffer } from '@forkstage/relay'
import { endRequest, failRequest, refuseRequest, discardKeptPrefill } from './endRequest'
import { engineEpoch, type RequestState } from './requestState'
import type { RequestEffect, RequestEvent, RequestPhase, WasteCause } from './requestTypes'

/** The most attempts of one request, whatever the retry budget allows. */
const MAX_ATTEMPTS = 4
/** How often one stream is resumed before another engine is tried. */
const MAX_RESUMES = 2
/** The longest wait until an answer that has begun requests a placement again after a refusal. */
const MAX_PLACE_RETRY_MS: Millis = 400
/** A kept prefill result that expires sooner than this is not worth another transfer. */
const MIN_KEEP_MS = 300

/** Applies an event to a request. @returns the effects to carry out. Nothing else changes the state; does no I/O. */
export function stepRequest(state: RequestState, event: RequestEvent, now: Millis): RequestEffect[] {
  if (state.phase !== 'ended') handleEvent(state, event, now)
  const effects = state.effects
  state.effects = []
  return effects
}

/** The phases in which an answer of an engine or of placement counts; in any other it is late or a duplicate. */
const AWAITED_IN: Partial<Record<RequestEvent['type'], RequestPhase[]>> = {
  placed: ['placing'],
  refused: ['placing'],
  reserved: ['reserving'],
  prefilled: ['prefilling'],
  line: ['decoding'],
  streamClosed: ['decoding'],
}

const STEP_PHASE = { reserve: 'reserving', prefill: 'prefilling' } as const

function isStale(state: RequestState, event: RequestEvent): boolean {
  const otherAttempt = 'attempt' in event && event.attempt !== state.attempt
  const awaitedIn = event.type === 'stepFailed' ? [STEP_PHASE[event.step]] : AWAITED_IN[event.type]
  return otherAttempt || (awaitedIn !== undefined && !awaitedIn.includes(state.phase))
}

function handleEvent(state: RequestState, event: RequestEvent, now: Millis): void {
  if (isStale(state, event)) return
  switch (event.type) {
    case 'start':
      if (state.claim === 'pending') state.effects.push({ type: 'claim' })
      return startAttempt(state, now)
    case 'claimed':
      return handleClaimed(state, event.epoch)
    case 'claimLost':
      state.claim = 'lost'
      return endRequest(state, { type: 'superseded' })
    case 'claimFailed':
      state.lastFailure = { reason: event.reason, step: 'claim' }
      return refuseRequest(state, 'claim-failed', state.options.stallMs)
    case 'placed':
      state.deterministic = event.deterministic
      return handlePlaced(state, event.placement)
    case 'refused':
      return handleRefused(state, event, now)
    case 'reserved':
      return handleReserved(state, now)
    case 'prefilled':
      return handlePrefilled(state, event.freshTokens, event.keepMs, now)
    case 'stepFailed':
      return handleStepFailed(state, event, now)
    case 'line':
      return handleLine(state, event.line, now)
    case 'streamClosed':
      return handleBrokenStream(state, event.reason, now)
    case 'adopt':
      return adoptStream(state, event.endpoint, now)
    case 'callerGone':
      return endRequest(state, { type: 'cancelled' })
    case 'tick':
      return handleTick(state, now)
  }
}

function handleClaimed(state: RequestState, epoch: number): void {
  state.claim = 'won'
  // Work sent before the claim was confirmed had the first epoch, which is also this one unless it is a takeover.
  state.claimEpoch = epoch
  deliver(state)
  finishIfWhole(state)
}

function startAttempt(state: RequestState, now: Millis): void {
  const { keptPrefill } = state
  const usable = keptPrefill !== undefined && keptPrefill.expiresAt - now > MIN_KEEP_MS
  if (!usable) discardKeptPrefill(state, 'expired')
  state.phase = 'placing'
  state.placement = undefined
  const waited = now - state.startedAt
  const keepPrefill = usable ? keptPrefill.endpoint : undefined
  state.effects.push({ type: 'place', attempt: state.attempt, avoid: state.avoid, waited, keepPrefill })
}

/** An answer that its caller has begun to receive requests a placement again until the deadline. */
function handleRefused(
  state: RequestState,
  { reason, retryAfter }: Extract<RequestEvent, { type: 'refused' }>,
  now: Millis,
): void {
  const mayContinue = state.options.deliveredBefore > 0 || (state.delivered > 0 && state.deterministic)
  const againAt = now + Math.min(retryAfter, MAX_PLACE_RETRY_MS)
  if (!mayContinue || againAt >= state.options.deadline) return refuseRequest(state, reason, retryAfter)
  state.placeAgainAt = againAt
}

function placeAgain(state: RequestState, now: Millis): void {
  state.placeAgainAt = undefined
  // The endpoints that failed the request may be the only ones.
  state.avoid = []
  startAttempt(state, now)
}

function handlePlaced(state: RequestState, placement: Placement): void {
  const mustRepeat = state.options.deliveredBefore > 0 || state.delivered > 0
  if (mustRepeat && !state.deterministic)
    return failRequest(state, 'the same answer cannot be generated again', 'place', placement.decode)
  const epoch = engineEpoch(state)
  state.placement = placement
  state.phase = 'reserving'
  state.order.fence(epoch)
  recordHold(state, placement.decode, epoch)
  const { slotLeaseMs } = state.options
  state.effects.push({
    type: 'reserve',
    attempt: state.attempt,
    epoch,
    endpoint: placement.decode,
    tokens: placement.reserveTokens,
    leaseMs: slotLeaseMs,
  })
}

function handleReserved(state: RequestState, now: Millis): void {
  const placement = state.placement!
  if (state.keptPrefill?.endpoint === placement.prefill) return startDecode(state, now)
  const epoch = engineEpoch(state)
  state.phase = 'prefilling'
  state.dispatched = true
  recordHold(state, placement.prefill, epoch)
  state.effects.push({ type: 'prefill', attempt: state.attempt, epoch, endpoint: placement.prefill })
}

function handlePrefilled(state: RequestState, freshTokens: number, keepMs: Millis, now: Millis): void {
  const { prefill } = state.placement!
  state.keptPrefill = { endpoint: prefill, freshTokens, expiresAt: now + keepMs }
  startDecode(state, now)
}

function startDecode(state: RequestState, now: Millis): void {
  const placement = state.placement!
  const epoch = engineEpoch(state)
  state.phase = 'decoding'
  state.lastLineAt = now
  state.resumes = 0
  state.effects.push({ type: 'decode', attempt: state.attempt, epoch, placement })
  state.effects.push({ type: 'noteDecoding', endpoint: placement.decode, epoch })
}

function handleStepFailed(
  state: RequestState,
  event: Extract<RequestEvent, { type: 'stepFailed' }>,
  now: Millis,
): void {
  const { step } = event
  const onlyDispatch = step === 'prefill' && state.attempt === 0
  // The endpoint's protocol proves that it ran nothing, and nothing else was dispatched.
  if (event.notRun && onlyDispatch) state.dispatched = false
  retryElsewhere(
    state,
    { reason: event.reason, step, peer: event.endpoint },
    [event.endpoint],
    'decode-failed',
    now,
  )
}

interface Failure {
  reason: string
  step: string
  peer?: string
}

/** Releases the current engines and starts another attempt, or fails the request after the last one. */
function retryElsewhere(
  state: RequestState,
  failure: Failure,
  avoid: EndpointName[],
  cause: WasteCause,
  now: Millis,
): void {
  state.lastFailure = failure
  if (state.attempt + 1 >= MAX_ATTEMPTS) return failRequest(state, failure.reason, failure.step, failure.peer)
  state.avoid = [...new Set([...state.avoid, ...avoid])]
  if (state.keptPrefill !== undefined && avoid.includes(state.keptPrefill.endpoint))
    discardKeptPrefill(state, cause)
  releaseAllBut(state, state.keptPrefill?.endpoint)
  state.attempt += 1
  // Nothing has been delivered yet, so another engine may give a different answer.
  if (state.delivered === 0) state.order = new FrameReorderBuffer()
  startAttempt(state, now)
}

function releaseAllBut(state: RequestState, kept: EndpointName | undefined): void {
  for (const [endpoint, epoch] of state.holds) {
    if (endpoint === kept) continue
    state.effects.push({ type: 'release', endpoint, epoch })
    state.holds.delete(endpoint)
  }
}

function handleLine(state: RequestState, line: EngineLine, now: Millis): void {
  state.lastLineAt = now
  if (line.type === 'transfer') return
  if (line.type === 'end') {
    if (state.order.setEnd(line.epoch, line.seq)) state.finish = line.finish
    return finishIfWhole(state)
  }
  const verdict = state.order.push(line)
  if (verdict !== 'taken') return
  if (state.firstTokenAt === undefined) state.firstTokenAt = now
  handleFirstToken(state)
  deliver(state)
  finishIfWhole(state)
}

/** The engine decodes, so the prefill result has been fetched: it is neither wasted nor held any more. */
function handleFirstToken(state: RequestState): void {
  const { prefill, decode } = state.placement!
  state.keptPrefill = undefined
  if (prefill !== decode) state.holds.delete(prefill)
}

function deliver(state: RequestState): void {
  if (state.claim !== 'won' || state.order.nextSeq <= state.delivered) return
  state.delivered = state.order.nextSeq
  state.effects.push({ type: 'deliver', upTo: state.delivered })
}

function finishIfWhole(state: RequestState): void {
  if (state.phase !== 'decoding' || state.claim !== 'won' || !state.order.isComplete) return
  endRequest(state, { type: 'answered', tokens: state.order.nextSeq, finish: state.finish })
}

/** Handles a stream that ended or stalled before the answer was complete: resumes at the gap, or retries elsewhere. */
function handleBrokenStream(state: RequestState, reason: string, now: Millis): void {
  if (state.phase !== 'decoding' || state.order.isComplete) return
  const { decode } = state.placement!
  const failure = { reason, step: 'decode', peer: decode }
  const mayResume = state.order.nextSeq > 0 && state.resumes < MAX_RESUMES
  if (!mayResume) return retryElsewhere(state, failure, [decode], 'transfer-stalled', now)
  state.lastFailure = failure
  state.resumes += 1
  state.lastLineAt = now
  state.effects.push({
    type: 'resume',
    attempt: state.attempt,
    epoch: engineEpoch(state),
    endpoint: decode,
    from: state.order.nextSeq,
  })
}

/** Resumes a stream that an earlier owner of the claim left at an engine. */
function adoptStream(state: RequestState, endpoint: EndpointName, now: Millis): void {
  const epoch = engineEpoch(state)
  state.dispatched = true
  state.phase = 'decoding'
  state.deterministic = true
  state.lastLineAt = now
  state.placement = adoptedPlacement(endpoint)
  state.order.fence(epoch)
  recordHold(state, endpoint, epoch)
  state.effects.push({ type: 'resume', attempt: state.attempt, epoch, endpoint, from: 0 })
  state.effects.push({ type: 'noteDecoding', endpoint, epoch })
}

function adoptedPlacement(endpoint: EndpointName): Placement {
  const figures = {
    prefill: endpoint,
    decode: endpoint,
    waitMs: 0,
    prefillMs: 0,
    transferMs: 0,
    ttftMs: 0,
    tbtMs: 0,
    cost: 0,
  }
  return {
    type: 'placed',
    prefill: endpoint,
    decode: endpoint,
    link: '',
    linkBytesPerMs: 1,
    reserveTokens: 0,
    kvBytes: 0,
    figures,
    candidates: [],
  }
}

function handleTick(state: RequestState, now: Millis): void {
  if (now >= state.options.deadline) {
    const { step = state.phase, peer } = state.lastFailure ?? {}
    return failRequest(state, 'deadline', step, peer)
  }
  if (state.placeAgainAt !== undefined && now >= state.placeAgainAt) return placeAgain(state, now)
  const stalled = state.phase === 'decoding' && now - state.lastLineAt > state.options.stallMs
  if (stalled) handleBrokenStream(state, 'stalled', now)
}

function recordHold(state: RequestState, endpoint: EndpointName, epoch: number): void {
  state.holds.set(endpoint, Math.max(epoch, state.holds.get(endpoint) ?? 0))
}

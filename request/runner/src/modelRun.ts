import { every, type CancelTimer } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Claim, JournalResult, Outcome } from '@forkstage/claims'
import {
  createRequest,
  stepRequest,
  type RequestEffect,
  type RequestEnd,
  type RequestEvent,
  type RequestState,
} from '@forkstage/machine'
import type { PlaceResult } from '@forkstage/place'
import type { EndpointName, RequestId } from '@forkstage/types'
import { EngineSteps } from './engineSteps'
import { recordRunEnd } from './recordRunEnd'
import type { ModelRequest } from './modelRequest'
import { createOutcome } from './outcome'
import { roundFigures } from './placer'
import type { RunParts } from './runParts'

/** The journal's answer to a lost claim: who runs the request, its outcome, or that the key was reused. */
export type ClaimAnswer = Extract<JournalResult, { type: 'running' | 'done' | 'mismatch' }>

/** A request taken over from an owner that is gone. */
export interface Takeover {
  epoch: number
  claim: Claim
  /** How many tokens the caller has already. */
  deliveredBefore: number
}

/** How much longer a slot stays reserved than the steps before decoding may take. */
const SLOT_MARGIN_MS = 2_000
const TICK_MS = 100

/** Runs one model request on this box: carries out the effects of the request state machine. */
export class ModelRun {
  private readonly state: RequestState
  private readonly steps: EngineSteps
  private readonly listeners = new Set<() => void>()
  private readonly cancelTicks: CancelTimer
  private claimEpoch = 1
  /** The journal's answer once the claim is lost to another box; undefined before. */
  superseded: ClaimAnswer | undefined
  end: RequestEnd | undefined

  constructor(
    readonly id: RequestId,
    readonly model: ModelRequest,
    private readonly parts: RunParts,
    private readonly takeover?: Takeover,
  ) {
    const now = parts.clock.now()
    this.state = createRequest({
      request: id,
      now,
      deadline: now + model.deadlineMs,
      stallMs: parts.stallMs,
      slotLeaseMs: parts.engineStepMs + SLOT_MARGIN_MS,
      deliveredBefore: takeover?.deliveredBefore ?? 0,
    })
    this.steps = new EngineSteps({ id, model, state: this.state, parts, emit: (event) => this.step(event) })
    this.cancelTicks = every(parts.clock, TICK_MS, () => this.step({ type: 'tick' }))
  }

  start(): void {
    const { key, service, model, promptTokens } = this.model
    this.parts.traces.record(this.id, 'received', {
      key,
      service,
      model,
      promptTokens,
      takenOver: this.takeover !== undefined,
    })
    if (this.takeover === undefined) return this.step({ type: 'start' })
    this.startTakenOver(this.takeover)
  }

  private startTakenOver({ epoch, claim }: Takeover): void {
    this.claimEpoch = epoch
    this.step({ type: 'claimed', epoch })
    const { decode } = claim
    const reachable = decode !== undefined && this.parts.tracker.row(decode.endpoint) !== undefined
    if (reachable) this.step({ type: 'adopt', endpoint: decode.endpoint })
    else this.step({ type: 'start' })
  }

  /** The tokens that may be delivered to callers, from number `seq` on. */
  tokensFrom(seq: number): string[] {
    return this.state.order.from(seq).slice(0, Math.max(0, this.state.delivered - seq))
  }

  /** Calls the listener whenever there are more tokens or the end. @returns a function that removes the listener. */
  listen(listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** The number of listeners of this run. */
  get followers(): number {
    return this.listeners.size
  }

  cancel(): void {
    this.step({ type: 'callerGone' })
  }

  private step(event: RequestEvent): void {
    try {
      const effects = stepRequest(this.state, event, this.parts.clock.now())
      for (const effect of effects) this.perform(effect)
    } catch (error) {
      this.parts.logger.error('invariant.broken', toErrorBody(error))
      const reason = 'an invariant does not hold'
      if (this.end === undefined)
        this.finish({ type: 'failed', reason, step: event.type, execution: 'may-have-run' })
    }
  }

  private perform(effect: RequestEffect): void {
    switch (effect.type) {
      case 'claim':
        return void this.claim()
      case 'place':
        return this.place(effect)
      case 'reserve':
        return void this.steps.reserve(effect)
      case 'prefill':
        return void this.steps.prefill(effect)
      case 'decode':
        return this.steps.decode(effect)
      case 'resume':
        return this.steps.resume(effect)
      case 'release':
        return this.steps.release(effect)
      case 'noteDecoding':
        return this.recordDecoding(effect.endpoint, effect.epoch)
      case 'deliver':
        return this.listeners.forEach((listener) => listener())
      case 'wasted':
        return this.recordWasted(effect)
      case 'end':
        return this.finish(effect.end)
    }
  }

  private async claim(): Promise<void> {
    const { journal, traces, logger } = this.parts
    const { key, bodyDigest } = this.model
    try {
      const result = await journal.claim(key, bodyDigest, this.id, true)
      traces.record(this.id, 'claim', { outcome: result.type })
      const epoch = result.type === 'new' ? result.epoch : 0
      logger.info('request.claimed', { request: this.id, outcome: result.type, epoch })
      this.applyClaimResult(result)
    } catch (error) {
      traces.record(this.id, 'claim', { failed: (error as Error).message })
      this.step({ type: 'claimFailed', reason: 'the journal cannot be reached' })
    }
  }

  private applyClaimResult(result: JournalResult): void {
    if (result.type === 'new') return this.step({ type: 'claimed', epoch: result.epoch })
    if (result.type === 'full') return this.step({ type: 'claimFailed', reason: 'the journal is full' })
    if (result.type === 'running' || result.type === 'done' || result.type === 'mismatch')
      this.superseded = result
    this.step({ type: 'claimLost' })
  }

  private place(effect: Extract<RequestEffect, { type: 'place' }>): void {
    const { attempt, avoid, waited, keepPrefill } = effect
    const answer = (result: PlaceResult | 'retry-budget') => this.applyPlacement(attempt, result)
    this.parts.placer.ask({
      request: this.id,
      model: this.model,
      attempt,
      avoid,
      waited,
      keepPrefill,
      answer,
    })
  }

  private applyPlacement(attempt: number, result: PlaceResult | 'retry-budget'): void {
    const { traces, tracker, ttftTarget } = this.parts
    if (result === 'retry-budget') {
      return this.step({ type: 'refused', attempt, reason: 'retry-budget', retryAfter: ttftTarget })
    }
    if (result.type === 'refused') {
      const { reason, retryAfter, closed } = result
      traces.record(this.id, 'refused by placement', { reason, closed })
      return this.step({ type: 'refused', attempt, reason, retryAfter })
    }
    traces.record(this.id, 'placed', { attempt, ...roundFigures(result.figures) })
    const deterministic = tracker.isDeterministic(result.decode)
    this.step({ type: 'placed', attempt, placement: result, deterministic })
  }

  private recordDecoding(endpoint: EndpointName, epoch: number): void {
    const { key, resumable } = this.model
    // Only lets a takeover find the stream; without it the takeover generates the answer again.
    if (resumable)
      this.parts.journal.recordDecoding(key, this.claimEpoch, endpoint, epoch).catch(() => undefined)
  }

  private recordWasted({ tokens, cause, endpoint }: Extract<RequestEffect, { type: 'wasted' }>): void {
    this.parts.metrics.recordWasted(tokens, cause)
    this.parts.traces.record(this.id, 'prefill wasted', { endpoint, tokens, cause })
  }

  private finish(end: RequestEnd): void {
    this.end = end
    this.cancelTicks()
    this.steps.close()
    this.parts.placer.forget(this.id)
    this.clearEndpointLoad(end)
    void this.settle(end)
    recordRunEnd(this.state, this.model, end, this.steps.lastTokenAt, this.parts)
    this.listeners.forEach((listener) => listener())
    this.parts.placer.drain()
  }

  private clearEndpointLoad(end: RequestEnd): void {
    const { placement } = this.state
    const { tracker } = this.parts
    if (end.type === 'failed' && end.peer !== undefined) tracker.recordResult(end.peer, end.reason)
    if (placement === undefined) return
    tracker.recordTransfer(placement.link, this.id, 0)
    tracker.recordEnded(placement.prefill, this.id)
    tracker.recordEnded(placement.decode, this.id)
    if (end.type === 'answered') tracker.recordResult(placement.decode, undefined)
  }

  /** Writes the outcome to the journal, or removes the claim of a request without an answer, which may run again. */
  private async settle(end: RequestEnd): Promise<void> {
    const { journal, logger } = this.parts
    if (end.type === 'superseded' || this.state.claim !== 'won') return
    try {
      if (end.type === 'answered')
        await journal.settle(this.model.key, this.claimEpoch, this.outcome(end.finish))
      else await journal.forget(this.model.key, this.claimEpoch)
    } catch (error) {
      logger.warn('request.failed', { request: this.id, attempt: this.state.attempt, ...toErrorBody(error) })
    }
  }

  private outcome(finish: string): Outcome {
    const answer = JSON.stringify({ tokens: this.state.order.from(0), finish, model: this.model.model })
    return createOutcome(Buffer.from(answer), {
      status: 200,
      headers: {},
      keepBytes: this.parts.outcomeBytes,
    })
  }
}

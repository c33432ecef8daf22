import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type {
  DecodeListener,
  DecodeStream,
  EndpointError,
  EngineClient,
  EnginePrompt,
} from '@forkstage/engine-client'
import { toErrorBody } from '@forkstage/error'
import type { Claim, JournalClient, Outcome } from '@forkstage/claims'
import type { EndpointBook, OutputForecast } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import {
  createRequest,
  stepRequest,
  type RequestEffect,
  type RequestEnd,
  type RequestEvent,
  type RequestState,
} from '@forkstage/machine'
import type { EndpointName, EndpointRow, Millis, RequestId } from '@forkstage/types'
import type { ModelRequest } from './modelRequest'
import { createOutcome } from './outcome'
import { rounded, type Placer } from './placer'
import type { ReleaseKeeper } from './releaseKeeper'
import type { RequestMeters } from './requestMeters'
import type { StoryBook } from './storyBook'

/** What a run needs from its box. */
export interface RunParts {
  engines: EngineClient
  journal: JournalClient
  book: EndpointBook
  forecast: OutputForecast
  placer: Placer
  releases: ReleaseKeeper
  stories: StoryBook
  meters: RequestMeters
  clock: Clock
  logger: Logger
  engineStepMs: Millis
  stallMs: Millis
  ttftTarget: Millis
  tbtTarget: Millis
  outcomeBytes: number
}

/** What the caller of a run that was superseded needs to know. */
export type ClaimAnswer = { type: 'running' | 'done'; claim: Claim } | { type: 'mismatch' } | { type: 'full' }

/** A request taken over from an owner that is gone. */
export interface Takeover {
  epoch: number
  claim: Claim
  /** Tokens that the caller has already. */
  deliveredBefore: number
}

/** Extra time that an engine keeps a reserved slot, beyond what the steps before may take. */
const SLOT_MARGIN_MS = 2_000
const TICK_MS = 100

/** Runs one model request on this box: performs what the request machine asks for. */
export class ModelRun {
  private readonly state: RequestState
  private stream: DecodeStream | undefined
  private readonly listeners = new Set<() => void>()
  private readonly cancelTicks: CancelTimer
  private claimEpoch = 1
  private lastTokenAt: Millis = 0
  /** Why another box answers instead, once that is known. */
  superseded: ClaimAnswer | undefined
  end: RequestEnd | undefined
  /** Resolves once the outcome stands in the journal, or could not be brought there. */
  settled: Promise<void> = Promise.resolve()

  constructor(
    readonly id: RequestId,
    readonly model: ModelRequest,
    private readonly parts: RunParts,
    private readonly takeover?: Takeover,
  ) {
    const now = parts.clock.now()
    this.state = createRequest({
      request: id,
      promptTokens: model.promptTokens,
      now,
      deadline: now + model.deadlineMs,
      stallMs: parts.stallMs,
      slotLeaseMs: parts.engineStepMs + SLOT_MARGIN_MS,
      deliveredBefore: takeover?.deliveredBefore ?? 0,
    })
    this.cancelTicks = every(parts.clock, TICK_MS, () => this.step({ type: 'tick' }))
  }

  start(): void {
    const { takeover, model } = this
    this.parts.stories.tell(this.id, 'received', {
      key: model.key,
      service: model.service,
      model: model.model,
      promptTokens: model.promptTokens,
      takenOver: takeover !== undefined,
    })
    if (takeover !== undefined) {
      this.claimEpoch = takeover.epoch
      this.step({ type: 'claimed', epoch: takeover.epoch })
      const decode = takeover.claim.decode
      if (decode !== undefined && this.parts.book.row(decode.endpoint) !== undefined)
        return this.step({ type: 'adopt', endpoint: decode.endpoint })
    }
    this.step({ type: 'start' })
  }

  /** Tokens that may be shown, from a number on. */
  tokensFrom(seq: number): string[] {
    return this.state.order.from(seq).slice(0, Math.max(0, this.state.delivered - seq))
  }

  get epoch(): number {
    return this.claimEpoch
  }

  get dispatched(): boolean {
    return this.state.dispatched
  }

  /** Calls back whenever there are more tokens or the end. */
  listen(listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** How many callers wait for this run. */
  get followers(): number {
    return this.listeners.size
  }

  cancel(): void {
    this.step({ type: 'callerGone' })
  }

  private step(event: RequestEvent): void {
    const { clock, logger } = this.parts
    try {
      const effects = stepRequest(this.state, event, clock.now())
      for (const effect of effects) this.perform(effect)
    } catch (error) {
      logger.error('invariant.broken', toErrorBody(error))
      if (this.end === undefined)
        this.finish({
          type: 'failed',
          reason: 'an invariant does not hold',
          step: event.type,
          execution: 'may-have-run',
        })
    }
  }

  private perform(effect: RequestEffect): void {
    switch (effect.type) {
      case 'claim':
        return void this.claim()
      case 'place':
        return this.place(effect)
      case 'reserve':
        return void this.reserve(effect)
      case 'prefill':
        return void this.prefill(effect)
      case 'decode':
        return this.decode(effect)
      case 'resume':
        return this.resume(effect)
      case 'release':
        return this.release(effect.endpoint, effect.epoch)
      case 'noteDecoding':
        return this.noteDecoding(effect.endpoint, effect.epoch)
      case 'deliver':
        return this.listeners.forEach((listener) => listener())
      case 'wasted':
        this.parts.meters.noteWasted(effect.tokens, effect.cause)
        return this.parts.stories.tell(this.id, 'prefill wasted', {
          endpoint: effect.endpoint,
          tokens: effect.tokens,
          cause: effect.cause,
        })
      case 'end':
        return this.finish(effect.end)
    }
  }

  private async claim(): Promise<void> {
    const { journal, stories, logger } = this.parts
    const { key, bodyDigest } = this.model
    try {
      const result = await journal.claim(key, bodyDigest, this.id, true)
      stories.tell(this.id, 'claim', { outcome: result.type })
      logger.info('request.claimed', {
        request: this.id,
        outcome: result.type,
        epoch: result.type === 'new' ? result.epoch : 0,
      })
      if (result.type === 'new') return this.step({ type: 'claimed', epoch: result.epoch })
      if (result.type === 'full') return this.step({ type: 'claimFailed', reason: 'the journal is full' })
      if (result.type === 'running' || result.type === 'done' || result.type === 'mismatch')
        this.superseded = result
      this.step({ type: 'claimLost' })
    } catch (error) {
      stories.tell(this.id, 'claim', { failed: (error as Error).message })
      this.step({ type: 'claimFailed', reason: 'the journal cannot be reached' })
    }
  }

  private place(effect: Extract<RequestEffect, { type: 'place' }>): void {
    const { attempt, avoid, waited, keepPrefill } = effect
    this.parts.placer.ask({
      request: this.id,
      model: this.model,
      attempt,
      avoid,
      waited,
      keepPrefill,
      answer: (result) => {
        if (result === 'retry-budget')
          return this.step({
            type: 'refused',
            attempt,
            reason: 'retry-budget',
            retryAfter: this.parts.ttftTarget,
          })
        if (result.type === 'refused') {
          this.parts.stories.tell(this.id, 'refused by placement', {
            reason: result.reason,
            closed: result.closed,
          })
          return this.step({ type: 'refused', attempt, reason: result.reason, retryAfter: result.retryAfter })
        }
        this.parts.stories.tell(this.id, 'placed', { attempt, ...rounded(result.figures) })
        const deterministic = this.parts.book.isDeterministic(result.decode)
        this.step({ type: 'placed', attempt, placement: result, deterministic })
      },
    })
  }

  private async reserve(effect: Extract<RequestEffect, { type: 'reserve' }>): Promise<void> {
    const { attempt, epoch, endpoint, tokens, leaseMs } = effect
    const { book, engines } = this.parts
    const row = this.rowOrFail(endpoint, attempt, 'reserve')
    if (row === undefined) return
    book.noteSent(endpoint, this.id, { promptTokens: 0, prefillTokens: 0, kvTokens: tokens }, [])
    try {
      await engines.reserve(row, { request: this.id, epoch }, tokens, leaseMs)
      this.step({ type: 'reserved', attempt })
    } catch (error) {
      this.failStep(endpoint, attempt, 'reserve', error as EndpointError)
    }
  }

  private async prefill(effect: Extract<RequestEffect, { type: 'prefill' }>): Promise<void> {
    const { attempt, epoch, endpoint } = effect
    const { book, engines, meters, stories, engineStepMs } = this.parts
    const row = this.rowOrFail(endpoint, attempt, 'prefill')
    if (row === undefined) return
    const { promptTokens, blocks } = this.model
    const kvTokens =
      endpoint === this.state.placement!.decode ? this.state.placement!.reserveTokens : promptTokens
    book.noteSent(
      endpoint,
      this.id,
      { promptTokens, prefillTokens: this.freshTokens(endpoint), kvTokens },
      blocks,
    )
    try {
      const result = await engines.prefill(
        row,
        { request: this.id, epoch },
        this.enginePrompt(),
        engineStepMs,
      )
      const freshTokens = promptTokens - result.cachedTokens
      meters.notePrefilled(freshTokens)
      book.notePrefilled(endpoint, this.id)
      book.noteResult(endpoint, undefined)
      stories.tell(this.id, 'prefilled', { endpoint, freshTokens, cachedTokens: result.cachedTokens })
      this.step({ type: 'prefilled', attempt, freshTokens, keepMs: result.keepMs })
    } catch (error) {
      this.failStep(endpoint, attempt, 'prefill', error as EndpointError)
    }
  }

  private freshTokens(endpoint: EndpointName): number {
    return Math.max(1, this.model.promptTokens - this.parts.book.cachedTokens(endpoint, this.model.blocks))
  }

  private decode(effect: Extract<RequestEffect, { type: 'decode' }>): void {
    const { attempt, epoch, placement } = effect
    const { book, engines } = this.parts
    const row = this.rowOrFail(placement.decode, attempt, 'reserve')
    if (row === undefined) return
    const prefillRow = book.row(placement.prefill)
    const isLocal = placement.prefill === placement.decode
    const source =
      isLocal || prefillRow === undefined
        ? undefined
        : { endpoint: placement.prefill, address: prefillRow.address, link: placement.link }
    if (!isLocal) book.noteTransfer(placement.link, this.id, placement.kvBytes)
    const order = {
      prompt: this.enginePrompt(),
      maxTokens: this.model.maxTokens,
      seed: this.model.seed,
      source,
      kvBytes: placement.kvBytes,
      linkBytesPerMs: placement.linkBytesPerMs,
    }
    this.stream?.close()
    this.stream = engines.decode(row, { request: this.id, epoch }, order, this.listener(attempt))
  }

  private resume(effect: Extract<RequestEffect, { type: 'resume' }>): void {
    const { attempt, epoch, endpoint, from } = effect
    const row = this.parts.book.row(endpoint)
    if (row === undefined)
      return this.step({
        type: 'streamClosed',
        attempt,
        reason: 'the endpoint left the table',
        notRun: false,
      })
    this.parts.stories.tell(this.id, 'resume', { endpoint, from })
    this.stream?.close()
    this.stream = this.parts.engines.resume(row, { request: this.id, epoch }, from, this.listener(attempt))
  }

  private listener(attempt: number): DecodeListener {
    return {
      onLine: (line) => {
        if (line.type === 'token') this.noteToken()
        this.step({ type: 'line', attempt, line })
      },
      onClose: (error) => {
        const reason = error?.reason ?? 'the stream ended early'
        this.step({ type: 'streamClosed', attempt, reason, notRun: error?.notRun ?? false })
      },
    }
  }

  private noteToken(): void {
    this.lastTokenAt = this.parts.clock.now()
    if (this.state.firstTokenAt !== undefined) return
    const { placement } = this.state
    if (placement === undefined) return
    this.parts.book.noteTransfer(placement.link, this.id, 0)
    if (placement.prefill !== placement.decode) this.parts.book.noteEnded(placement.prefill, this.id)
  }

  private release(endpoint: EndpointName, epoch: number): void {
    this.parts.stories.tell(this.id, 'release', { endpoint })
    this.parts.book.noteEnded(endpoint, this.id)
    this.parts.releases.release(endpoint, { request: this.id, epoch })
  }

  private noteDecoding(endpoint: EndpointName, epoch: number): void {
    // Only helps a takeover to find the stream; without it the answer is made again.
    if (this.model.resumable)
      this.parts.journal.noteDecoding(this.model.key, this.claimEpoch, endpoint, epoch).catch(() => undefined)
  }

  private rowOrFail(
    endpoint: EndpointName,
    attempt: number,
    step: 'reserve' | 'prefill',
  ): EndpointRow | undefined {
    const row = this.parts.book.row(endpoint)
    if (row === undefined)
      this.step({
        type: 'stepFailed',
        step,
        attempt,
        endpoint,
        reason: 'the endpoint left the table',
        notRun: true,
      })
    return row
  }

  private failStep(
    endpoint: EndpointName,
    attempt: number,
    step: 'reserve' | 'prefill',
    error: EndpointError,
  ): void {
    const { book, logger, stories } = this.parts
    book.noteResult(endpoint, error.reason)
    stories.tell(this.id, 'failed', { step, endpoint, reason: error.reason, notRun: error.notRun })
    logger.warn('request.failed', { request: this.id, attempt, ...toErrorBody(error) })
    this.step({ type: 'stepFailed', step, attempt, endpoint, reason: error.reason, notRun: error.notRun })
  }

  private enginePrompt(): EnginePrompt {
    const { model, body, promptTokens, blocks, priority } = this.model
    return { model, body, tokens: promptTokens, blocks, priority }
  }

  private finish(end: RequestEnd): void {
    this.end = end
    this.cancelTicks()
    this.stream?.close()
    this.parts.placer.forget(this.id)
    this.leaveBook()
    this.settled = this.settle(end)
    this.measure(end)
    this.listeners.forEach((listener) => listener())
    this.parts.placer.drain()
  }

  private leaveBook(): void {
    const { placement } = this.state
    if (placement === undefined) return
    const { book } = this.parts
    book.noteTransfer(placement.link, this.id, 0)
    book.noteEnded(placement.prefill, this.id)
    book.noteEnded(placement.decode, this.id)
    if (this.end?.type === 'answered') book.noteResult(placement.decode, undefined)
    if (this.end?.type === 'failed' && this.end.peer !== undefined)
      book.noteResult(this.end.peer, this.end.reason)
  }

  /** Writes the outcome to the journal, or gives the key up where the request may simply run again. */
  private async settle(end: RequestEnd): Promise<void> {
    const { journal, logger, outcomeBytes } = this.parts
    const { key } = this.model
    if (end.type === 'superseded' || this.state.claim !== 'won') return
    try {
      if (end.type !== 'answered') await journal.forget(key, this.claimEpoch)
      else await journal.settle(key, this.claimEpoch, this.outcome(end.finish, outcomeBytes))
    } catch (error) {
      logger.warn('request.failed', { request: this.id, attempt: this.state.attempt, ...toErrorBody(error) })
    }
  }

  private outcome(finish: string, outcomeBytes: number): Outcome {
    const answer = JSON.stringify({ tokens: this.state.order.from(0), finish, model: this.model.model })
    return createOutcome(Buffer.from(answer), { status: 200, headers: {}, keepBytes: outcomeBytes })
  }

  private measure(end: RequestEnd): void {
    const { meters, forecast, logger, stories, ttftTarget, tbtTarget, stallMs } = this.parts
    const { firstTokenAt, startedAt, order } = this.state
    const tokens = order.next
    const ttftMs = firstTokenAt === undefined ? undefined : firstTokenAt - startedAt
    const tbtMs =
      firstTokenAt === undefined || tokens < 2 ? undefined : (this.lastTokenAt - firstTokenAt) / (tokens - 1)
    const good =
      end.type === 'answered' &&
      ttftMs !== undefined &&
      ttftMs <= Math.min(ttftTarget, this.model.ttftMs) &&
      (tbtMs ?? 0) <= tbtTarget
    const { service, className } = this.model
    meters.noteEnd({ service, className, end: end.type, ttftMs, tbtMs, tokens, good })
    meters.noteFrames(order.counts)
    if (end.type === 'answered') forecast.learn(`${service}/${className}`, tokens)
    const execution = 'execution' in end ? end.execution : 'ran'
    const line = {
      request: this.id,
      execution,
      status: end.type === 'answered' ? 200 : 503,
      tokens,
      ttftMs: ttftMs === undefined ? undefined : Math.round(ttftMs),
    }
    logger.info('request.settled', line)
    stories.tell(this.id, 'ended', {
      ...end,
      tokens,
      ttftMs: line.ttftMs,
      tbtMs: tbtMs === undefined ? undefined : Math.round(tbtMs),
      stallMs,
    })
  }
}

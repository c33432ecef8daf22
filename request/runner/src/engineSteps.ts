import { toErrorBody } from '@forkstage/error'
import type { DecodeListener, DecodeStream, EndpointError, EnginePrompt } from '@forkstage/engine-client'
import type { RequestEffect, RequestEvent, RequestState } from '@forkstage/machine'
import type { EndpointName, EndpointRow, RequestId } from '@forkstage/types'
import type { ModelRequest } from './modelRequest'
import type { RunParts } from './runParts'

type Effect<Type extends RequestEffect['type']> = Extract<RequestEffect, { type: Type }>

/** Options of {@link EngineSteps}. */
export interface EngineStepsOptions {
  id: RequestId
  model: ModelRequest
  state: RequestState
  parts: RunParts
  /** Called with what the engines answered. */
  emit: (event: RequestEvent) => void
}

/** Carries out a request's engine calls, and records them in the endpoint tracker and the request's trace. */
export class EngineSteps {
  private stream: DecodeStream | undefined
  /** When the newest token arrived, by the box's clock; 0 before the first. */
  lastTokenAt = 0

  constructor(private readonly options: EngineStepsOptions) {}

  async reserve(effect: Effect<'reserve'>): Promise<void> {
    const { attempt, epoch, endpoint, tokens, leaseMs } = effect
    const { id, emit } = this.options
    const { tracker, engines } = this.options.parts
    const row = this.findRow(endpoint, attempt, 'reserve')
    if (row === undefined) return
    tracker.recordSent(endpoint, id, { promptTokens: 0, prefillTokens: 0, kvTokens: tokens }, [])
    try {
      await engines.reserve(row, { request: id, epoch }, tokens, leaseMs)
      emit({ type: 'reserved', attempt })
    } catch (error) {
      this.failStep(endpoint, attempt, 'reserve', error as EndpointError)
    }
  }

  async prefill(effect: Effect<'prefill'>): Promise<void> {
    const { attempt, epoch, endpoint } = effect
    const { id, model, state, emit, parts } = this.options
    const { tracker, engines, metrics, traces, engineStepMs } = parts
    const row = this.findRow(endpoint, attempt, 'prefill')
    if (row === undefined) return
    const { promptTokens, blocks } = model
    const isLocal = endpoint === state.placement!.decode
    const kvTokens = isLocal ? state.placement!.reserveTokens : promptTokens
    const prefillTokens = Math.max(1, promptTokens - tracker.cachedTokens(endpoint, blocks))
    tracker.recordSent(endpoint, id, { promptTokens, prefillTokens, kvTokens }, blocks)
    try {
      const result = await engines.prefill(row, { request: id, epoch }, this.enginePrompt(), engineStepMs)
      const freshTokens = promptTokens - result.cachedTokens
      metrics.recordPrefilled(freshTokens)
      tracker.recordPrefilled(endpoint, id)
      tracker.recordResult(endpoint, undefined)
      traces.record(id, 'prefilled', { endpoint, freshTokens, cachedTokens: result.cachedTokens })
      emit({ type: 'prefilled', attempt, freshTokens, keepMs: result.keepMs })
    } catch (error) {
      this.failStep(endpoint, attempt, 'prefill', error as EndpointError)
    }
  }

  decode(effect: Effect<'decode'>): void {
    const { attempt, epoch, placement } = effect
    const { id, model, parts, emit } = this.options
    const { tracker, engines } = parts
    const row = tracker.row(placement.decode)
    if (row === undefined)
      return emit({ type: 'streamClosed', attempt, reason: 'the endpoint left the table', notRun: true })
    const prefillRow = tracker.row(placement.prefill)
    const isLocal = placement.prefill === placement.decode
    const source =
      isLocal || prefillRow === undefined
        ? undefined
        : { endpoint: placement.prefill, address: prefillRow.address, link: placement.link }
    if (!isLocal) tracker.recordTransfer(placement.link, id, placement.kvBytes)
    const { maxTokens, seed } = model
    const { kvBytes, linkBytesPerMs } = placement
    const order = { prompt: this.enginePrompt(), maxTokens, seed, source, kvBytes, linkBytesPerMs }
    this.close()
    this.stream = engines.decode(row, { request: id, epoch }, order, this.listener(attempt))
  }

  resume(effect: Effect<'resume'>): void {
    const { attempt, epoch, endpoint, from } = effect
    const { id, parts, emit } = this.options
    const row = parts.tracker.row(endpoint)
    if (row === undefined)
      return emit({ type: 'streamClosed', attempt, reason: 'the endpoint left the table', notRun: false })
    parts.traces.record(id, 'resume', { endpoint, from })
    this.close()
    this.stream = parts.engines.resume(row, { request: id, epoch }, from, this.listener(attempt))
  }

  release({ endpoint, epoch }: Effect<'release'>): void {
    const { id, parts } = this.options
    parts.traces.record(id, 'release', { endpoint })
    parts.tracker.recordEnded(endpoint, id)
    parts.releases.release(endpoint, { request: id, epoch })
  }

  /** Closes the connection of the current stream. */
  close(): void {
    this.stream?.close()
  }

  private listener(attempt: number): DecodeListener {
    const { emit, id, parts, state } = this.options
    return {
      onLine: (line) => {
        if (line.type === 'token') this.recordToken()
        emit({ type: 'line', attempt, line })
      },
      onClose: (error) => {
        const reason = error?.reason ?? 'the stream ended early'
        const at = state.placement?.decode
        if (error?.retryAfter.type === 'rest' && at !== undefined)
          parts.tracker.recordRefusal(at, error.retryAfter, id, reason)
        emit({ type: 'streamClosed', attempt, reason, notRun: error?.notRun ?? false })
      },
    }
  }

  private recordToken(): void {
    const { id, state, parts } = this.options
    this.lastTokenAt = parts.clock.now()
    const { placement } = state
    if (state.firstTokenAt !== undefined || placement === undefined) return
    parts.tracker.recordTransfer(placement.link, id, 0)
    if (placement.prefill !== placement.decode) parts.tracker.recordEnded(placement.prefill, id)
  }

  private findRow(
    endpoint: EndpointName,
    attempt: number,
    step: 'reserve' | 'prefill',
  ): EndpointRow | undefined {
    const row = this.options.parts.tracker.row(endpoint)
    const reason = 'the endpoint left the table'
    if (row === undefined)
      this.options.emit({ type: 'stepFailed', step, attempt, endpoint, reason, notRun: true })
    return row
  }

  private failStep(
    endpoint: EndpointName,
    attempt: number,
    step: 'reserve' | 'prefill',
    error: EndpointError,
  ): void {
    const { id, parts, emit } = this.options
    const { reason, notRun } = error
    parts.tracker.recordRefusal(endpoint, error.retryAfter, id, reason)
    parts.traces.record(id, 'failed', { step, endpoint, reason, notRun })
    parts.logger.warn('request.failed', { request: id, attempt, ...toErrorBody(error) })
    emit({ type: 'stepFailed', step, attempt, endpoint, reason, notRun })
  }

  private enginePrompt(): EnginePrompt {
    const { model, body, promptTokens, blocks, priority } = this.options.model
    return { model, body, tokens: promptTokens, blocks, priority }
  }
}

import type { Clock, Random } from '@forkstage/clock'
import type { EndpointTracker, OutputForecast, RetryBudget } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import {
  createBaselineState,
  place,
  placeByBaseline,
  type BaselineName,
  type PlacePolicy,
  type PlaceRequest,
  type PlaceResult,
} from '@forkstage/place'
import { FairQueue, type QueueItem } from '@forkstage/queue'
import type { EndpointName, Millis, RequestId } from '@forkstage/types'
import type { ModelRequest } from './modelRequest'
import type { RequestMetrics } from './requestMetrics'

/** A run's request for a placement. */
export interface PlacementQuery {
  request: RequestId
  model: ModelRequest
  attempt: number
  avoid: EndpointName[]
  waited: Millis
  keepPrefill?: EndpointName
  answer: (result: PlaceResult | 'retry-budget') => void
}

interface WaitingQuery extends QueueItem {
  query: PlacementQuery
  since: Millis
}

/** Options of {@link Placer}. */
export interface PlacerOptions {
  tracker: EndpointTracker
  policyName: 'forkstage' | BaselineName
  policy: PlacePolicy
  forecast: OutputForecast
  budget: RetryBudget
  clock: Clock
  random: Random
  logger: Logger
  metrics: RequestMetrics
  /** Requests more credits from the owners of endpoints at once. */
  requestCredits: () => void
}

/** The most requests that may wait; more are refused at once. */
const MAX_WAITING = 512

/** Places requests, and keeps those that must wait for capacity in a fair queue. */
export class Placer {
  private readonly queue = new FairQueue<WaitingQuery>()
  private readonly baseline = createBaselineState()
  private draining = false

  constructor(private readonly options: PlacerOptions) {}

  get waiting(): number {
    return this.queue.length
  }

  /** Passes the result to `query.answer`: at once, when there is capacity, or when the target cannot be met. */
  ask(query: PlacementQuery): void {
    if (query.attempt > 0 && !this.consumeRetry()) return query.answer('retry-budget')
    if (query.attempt === 0) this.options.budget.recordFirstTry()
    // Requests that wait already go first, unless this one continues with a kept prefill result.
    const mustQueue = this.queue.length > 0 && query.keepPrefill === undefined
    if (mustQueue) return this.enqueue(query)
    this.decide(query, () => this.enqueue(query))
  }

  /** Removes the query of a request that has ended. */
  forget(request: RequestId): void {
    for (const item of this.queue.items()) if (item.query.request === request) this.queue.remove(item, false)
  }

  /** Retries waiting requests in fair order until one cannot be placed. */
  drain(): void {
    if (this.draining) return
    this.draining = true
    this.refuseLate()
    for (let item = this.queue.peek(); item !== undefined; item = this.queue.peek()) {
      let stuck = false
      const { query, since } = item
      const waited = query.waited + this.options.clock.now() - since
      this.decide(
        { ...query, waited, answer: (result) => this.answerWaiting(item!, result) },
        () => void (stuck = true),
      )
      if (stuck) break
    }
    this.draining = false
  }

  private answerWaiting(item: WaitingQuery, result: PlaceResult | 'retry-budget'): void {
    this.queue.remove(item, result !== 'retry-budget' && result.type === 'placed')
    item.query.answer(result)
  }

  private decide(query: PlacementQuery, wait: () => void): void {
    const result = this.place(query)
    if (result.type === 'refused' && result.reason === 'no-credit') this.options.requestCredits()
    const mayWait = result.type === 'refused' && result.mayWait && query.waited < query.model.ttftMs
    if (mayWait) return wait()
    this.log(query, result)
    query.answer(result)
  }

  private enqueue(query: PlacementQuery): void {
    const { clock } = this.options
    if (this.queue.length >= MAX_WAITING) {
      const result = refuseTooLate(query)
      this.log(query, result)
      return query.answer(result)
    }
    const { workspace, priority, promptTokens } = query.model
    this.queue.push({ workspace, priority, cost: promptTokens, query, since: clock.now() })
    if (this.queue.length > 1) this.drain()
  }

  /** Refuses waiting requests that would miss their target even if they were placed now. */
  private refuseLate(): void {
    const now = this.options.clock.now()
    for (const item of this.queue.items()) {
      const { query, since } = item
      const waited = query.waited + now - since
      if (waited < query.model.ttftMs) continue
      const result = refuseTooLate(query)
      this.log(query, result)
      this.answerWaiting(item, result)
    }
  }

  private place(query: PlacementQuery): PlaceResult {
    const { tracker, policyName, policy, random } = this.options
    const request = this.toPlaceRequest(query)
    const view = tracker.view(query.model.blocks)
    const { keepPrefill } = query
    if (keepPrefill !== undefined)
      view.endpoints = view.endpoints
        .map((each) => reopenKept(each, keepPrefill))
        .filter((each) => each.row.pool !== 'prefill' || each.row.endpoint === keepPrefill)
    const targeted = { ...policy, ttftTarget: query.model.ttftMs }
    if (policyName !== 'forkstage') return placeByBaseline(policyName, request, view, targeted, this.baseline)
    // A retry has used up its time already: it is placed late rather than wasting the work done so far.
    const parts = query.attempt > 0 ? { ...policy.parts, refuseLate: false } : policy.parts
    return place(request, view, { policy: { ...targeted, parts }, random })
  }

  private toPlaceRequest(query: PlacementQuery): PlaceRequest {
    const { model, request, waited, avoid } = query
    const expectedOutput = this.options.forecast.expect(
      `${model.service}/${model.className}`,
      model.maxTokens,
    )
    const { service, promptTokens, kvBytesPerToken } = model
    return {
      request,
      service,
      model: model.model,
      promptTokens,
      expectedOutput,
      kvBytesPerToken,
      waited,
      avoid,
    }
  }

  private consumeRetry(): boolean {
    const granted = this.options.budget.tryConsume()
    this.options.metrics.recordRetry(granted)
    return granted
  }

  private log(query: PlacementQuery, result: PlaceResult): void {
    const { request, model } = query
    const placed = result.type === 'placed'
    this.options.logger.info('placement.decided', {
      request,
      caller: model.caller,
      service: model.service,
      outcome: result.type,
      reason: placed ? 'lowest cost' : result.reason,
      choice: placed
        ? roundFigures(result.figures)
        : { retryAfter: Math.round(result.retryAfter), closed: result.closed },
      candidates: result.candidates.map(roundFigures),
    })
  }
}

/** Refuses a request for which there is no capacity within its caller's target. */
function refuseTooLate(query: PlacementQuery): PlaceResult {
  const retryAfter = query.model.ttftMs
  return { type: 'refused', reason: 'too-late', retryAfter, mayWait: false, candidates: [], closed: [] }
}

/** Opens the engine that keeps the request's prefill result: fetching that result needs no credit. */
function reopenKept<
  View extends { row: { endpoint: EndpointName }; closed?: unknown; queuedPrefillTokens: number },
>(view: View, kept: EndpointName): View {
  return view.row.endpoint === kept ? { ...view, closed: undefined, queuedPrefillTokens: 0 } : view
}

/** Returns a copy with its numbers rounded to two decimals, for log lines and traces. */
export function roundFigures(figures: object): Record<string, unknown> {
  const entries = Object.entries(figures).map(([name, value]) => [
    name,
    typeof value === 'number' ? Math.round(value * 100) / 100 : value,
  ])
  return Object.fromEntries(entries) as Record<string, unknown>
}

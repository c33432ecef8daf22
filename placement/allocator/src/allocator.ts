import type { InstanceId, Stage } from '@forkstage/directory'
import { Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { AnswerMove, PlaceAsk, PlaceDecision, Placed, ReportedHold, UseOutcome } from './allocatorTypes'
import type { AllocatorOptions, AllocatorTuning, LearnedModels } from './allocatorOptions'
import { EngineBudgets } from './engineBudgets'
import { BarredEngines } from './barredEngines'
import { EngineChoice, STARTUP_MS, type EnginePick } from './engineChoice'
import type { EngineSummary } from './enginePick'
import { EnginePace } from './enginePace'
import { HoldRegistry } from './holdRegistry'
import { InstanceHealth } from './instanceHealth'
import { LengthForecast } from './lengthForecast'
import { MigrationPlanner } from './migrationPlanner'
import { StageOrderTracker } from './stageOrderTracker'
import {
  REGION_REASON,
  REGION_RETRY_MS,
  COLD_REASON,
  NO_VERSION_REASON,
  NO_VERSION_RETRY_MS,
  refused,
  Refusals,
  UNKNOWN_SERVICE,
  VERSION_UNAVAILABLE_REASON,
} from './refusals'
import { isQueueDelay } from './isQueueDelay'
import type { StageChange, StageNeed } from './planStages'
import { StagePlanner } from './stagePlanner'
import { PlacementQueue, type WaitingRequest } from './placementQueue'
import { summarizeEngines } from './summarizeEngines'

const DEFAULT_TUNING: AllocatorTuning = {
  lengthCertainty: 0.7,
  memoryShare: 0.97,
  lateMemoryShare: 0.85,
  order: 'returns-last',
}

const NO_ENGINE_RETRY_MS = 700
/** Refusal reason if every decode engine of the service is barred. */
const EVACUATED_REASON = 'evacuated'
/** Waiting requests per decode engine that can be in time; any more could not be placed in time. */
const MAX_WAITING_PER_ENGINE = 4
/**
 * Places the model requests of all entries. Tracks the memory that running answers hold and forecasts its growth;
 * places a request only if the forecast peak fits, and queues it for a while otherwise.
 */
export class Allocator {
  private readonly holds: HoldRegistry
  private readonly health = new InstanceHealth()
  private readonly tuning: AllocatorTuning
  private readonly queue: PlacementQueue
  private readonly refusals = new Refusals()
  private readonly orders = new StageOrderTracker()
  private readonly learned: LearnedModels
  private readonly choice: EngineChoice
  private readonly moves: MigrationPlanner
  private readonly budgets: EngineBudgets
  private readonly barred: BarredEngines
  private readonly stages: StagePlanner

  constructor(private readonly options: AllocatorOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning }
    this.learned = options.learned ?? { pace: new EnginePace(), forecast: new LengthForecast() }
    const { lengthCertainty } = this.tuning
    this.holds = new HoldRegistry({ lengthCertainty, ...this.learned })
    this.budgets = new EngineBudgets(options.cold, options.limits)
    this.barred = new BarredEngines(options.isBarred)
    this.choice = new EngineChoice({
      budgets: this.budgets,
      endpoints: options.endpoints,
      topology: options.topology ?? new Topology(),
      barred: this.barred,
      engine: options.engine,
      holds: this.holds,
      health: this.health,
      pace: this.learned.pace,
      isChanging: (id, now) => this.isChanging(id, now),
    })
    this.moves = new MigrationPlanner({
      holds: this.holds,
      choice: this.choice,
      engine: options.engine,
      endpoints: options.endpoints,
      isChanging: (id, now) => this.isChanging(id, now),
      memoryShare: this.tuning.memoryShare,
    })
    this.stages = new StagePlanner({
      choice: this.choice,
      barred: this.barred,
      holds: this.holds,
      health: this.health,
      pace: this.learned.pace,
      orders: this.orders,
      engine: options.engine,
    })
    this.queue = new PlacementQueue((one, now) => this.slackOf(one, now), this.tuning.order)
  }

  get waitingCount(): number {
    return this.queue.size
  }

  get holdCount(): number {
    return this.holds.size
  }

  /** Requests a placement. `resolve` gets the decision at once or later, at the latest after the hold time. */
  ask(ask: PlaceAsk, now: Millis, resolve: (decision: PlaceDecision) => void): void {
    if (!ask.isReturn && !ask.isPrefilled && ask.isBegun !== true)
      this.stages.recordDemand(ask.service, ask.promptTokens, this.holds.forecastTokenSteps(ask), now)
    const refusal = this.refuseAtOnce(ask, now)
    if (refusal !== undefined) return resolve(refusal)
    this.queue.add({ ask, since: now, hasProspect: false, resolve })
    this.placeWaiting(now)
  }

  /** Removes a request from the queue; a placement made meanwhile is released. */
  withdraw(request: string, now: Millis): void {
    this.queue.removeWhere((one) => one.ask.request === request)
    this.release(request, 'cancelled', 0, now)
  }

  /** Records that the prefill step of a request has ended. */
  recordPrefilled(request: string, outcome: UseOutcome, tookMs: Millis, now: Millis): void {
    const hold = this.holds.get(request)
    if (hold === undefined) return
    const isRead = outcome === 'ok'
    // The entry has no attempt left, so the decode engine prefills; for other outcomes the entry asks again.
    const isLocal = outcome === 'cancelled'
    this.holds.recordDecoding(hold, isRead ? now : now + this.choice.localPrefillMs(hold.ask, now), isLocal)
    if (hold.prefill === undefined) return
    this.choice.cache.recordPrefill(hold, outcome, tookMs, now)
    if (!isQueueDelay(hold, outcome)) this.recordUse(hold.prefill, outcome, now, tookMs)
    const isGivenUp = outcome === 'silent'
    if (isRead || isGivenUp) this.holds.recordPrefillEnd(hold, tookMs, isGivenUp, now)
    this.placeWaiting(now)
  }

  /**
   * Records how a use of an instance ended or progresses, independent of any hold.
   * @param tookMs duration of the use so far, in milliseconds.
   */
  recordUse(id: InstanceId, outcome: UseOutcome, now: Millis, tookMs: Millis = 0): void {
    // A cold engine is slow for a while without being unhealthy.
    if (outcome === 'silent' && this.budgets.isCold(id, now - tookMs)) return
    const forMs = this.health.record(id, outcome, now, tookMs)
    this.choice.cache.recordUse(id, outcome)
    this.choice.refresh()
    if (forMs > 0) this.options.onEjected?.(id, outcome, forMs)
  }

  /** Plans migrations of an entry's running answers; their memory counts at the new engines from now on. */
  planMigrations(entry: string, now: Millis): AnswerMove[] {
    return this.moves.plan(this.holds.runningOf(entry), now)
  }

  /**
   * Releases the hold of a request whose answer has ended.
   * @param madeTokens tokens that were generated.
   * @param at the engine where the answer ended, which differs from the hold's engine if the answer has migrated.
   */
  release(request: string, outcome: UseOutcome, madeTokens: number, now: Millis, at?: InstanceId): void {
    const hold = this.holds.get(request)
    if (hold === undefined) return
    this.holds.remove(request)
    if (hold.decodingAt === undefined) this.choice.cache.recordPrefill(hold, 'cancelled', 0, now)
    if (!isQueueDelay(hold, outcome)) this.recordUse(at ?? hold.decode, outcome, now)
    if (madeTokens > 0) this.choice.cache.recordDecode(hold.ask, at ?? hold.decode)
    this.queue.recordEnd(hold.ask.service, now)
    // Tokens of a migrated answer since its last report may come from two engines.
    if (outcome === 'ok' && madeTokens > 0 && hold.leaves === undefined)
      this.holds.learnAnswer(hold, madeTokens, now)
    this.placeWaiting(now)
  }

  /** Applies an entry's report: adopts holds that are unknown here, removes those that it no longer names. */
  applyReport(entry: string, reported: ReportedHold[], now: Millis): void {
    this.choice.cache.applyReport(reported)
    for (const id of this.holds.applyReport(entry, reported, now)) this.health.recordProgress(id, now)
  }

  /** Removes the holds and the waiting requests of an entry that is gone. */
  removeEntry(entry: string): void {
    this.holds.removeEntry(entry)
    this.queue.removeWhere((one) => one.ask.entry === entry)
  }

  /** Periodically places waiting requests that fit, and refuses those without prospect or past their hold time. */
  tick(now: Millis): void {
    const endpoints = this.options.endpoints()
    const known = new Set(endpoints.map((endpoint) => endpoint.id))
    this.barred.update(endpoints, now)
    this.health.sweep(known)
    this.learned.pace.sweep(known)
    this.holds.sweep(known)
    this.stages.sweep(known)
    this.choice.sweep(known)
    this.budgets.sweep(known)
    this.choice.cache.evict(now)
    this.orders.sweep(known)
    this.choice.refresh()
    this.placeWaiting(now)
    const evacuated = this.queue.removeServices((service) => this.choice.isFullyBarred(service))
    for (const { ask, resolve } of evacuated) resolve(this.refuse(EVACUATED_REASON, ask, now))
    this.refuseUnservableStreams(now)
    const hopeless = this.queue.removeHopeless(now)
    const overdue = this.queue.removeWhere((one) => now - one.since >= one.ask.holdMs)
    for (const { ask, resolve } of hopeless) resolve(this.refuse('no room in sight', ask, now))
    for (const { ask, resolve } of overdue) resolve(this.refuse('no room in time', ask, now))
  }

  /** Returns the demand on a service, in healthy engines per stage; undefined until enough has been observed. */
  needOf(service: string, now: Millis): StageNeed | undefined {
    return this.stages.needOf(service, now)
  }

  /** Returns the stage change that a service should make now; undefined if none. */
  planStage(service: string, now: Millis): StageChange | undefined {
    return this.stages.plan(service, now)
  }

  /** Gives an engine no work while it changes its stage. */
  markChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.orders.markChanging(id, to, forMs, now)
    this.choice.cache.forget(id)
    this.choice.refresh()
  }

  /** Keeps an engine in use, without another order, while the result of its last order is unknown. */
  markOrdered(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.orders.markOrdered(id, to, forMs, now)
  }

  /** Summarizes the engines that a request could use, for the log. */
  summarize(ask: PlaceAsk, now: Millis): EngineSummary {
    const { choice, holds, budgets } = this
    return summarizeEngines(ask, now, { choice, holds, budgets })
  }

  /** Clears the prefix cache entries of an engine that has restarted. */
  clearPrefixCache(id: InstanceId): void {
    this.choice.cache.forget(id)
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return this.orders.isChanging(id, now)
  }

  private refuseAtOnce(ask: PlaceAsk, now: Millis): PlaceDecision | undefined {
    if (this.options.engine(ask.service) === undefined) return refused(UNKNOWN_SERVICE, NO_ENGINE_RETRY_MS)
    const decoders = this.choice.usable(ask.service, 'decode').length
    if (this.choice.isFullyBarred(ask.service)) return this.refuse(EVACUATED_REASON, ask, now)
    if (decoders === 0) return refused('no decode engine is known', NO_ENGINE_RETRY_MS)
    const unservable = this.refuseUnservable(ask)
    if (unservable !== undefined) return unservable
    const patienceMs = ask.promptMs > 0 ? ask.promptMs : ask.holdMs
    if ((this.choice.coldWaitMs(ask, now) ?? 0) > patienceMs) return this.refuse(COLD_REASON, ask, now)
    const isFull =
      ask.promptMs > 0 &&
      this.queue.countNew(ask, now) >= this.choice.countInRegions(ask) * MAX_WAITING_PER_ENGINE
    return isFull ? this.refuse('too many wait already', ask, now) : undefined
  }

  /** Refuses a request that no registered engine may get; undefined if one may. */
  private refuseUnservable(ask: PlaceAsk): PlaceDecision | undefined {
    if (!this.choice.hasVersion(ask)) return refused(NO_VERSION_REASON, NO_VERSION_RETRY_MS)
    if (this.choice.countInRegions(ask) === 0) return refused(REGION_REASON, REGION_RETRY_MS)
    if (this.choice.countOfVersion(ask) > 0) return undefined
    return refused(VERSION_UNAVAILABLE_REASON, NO_ENGINE_RETRY_MS)
  }

  /** Refuses waiting requests whose stream no registered engine may continue any more. */
  private refuseUnservableStreams(now: Millis): void {
    const isBound = ({ ask }: WaitingRequest) => ask.boundVersion !== undefined
    const mayWait = ({ ask }: WaitingRequest) => this.choice.candidates(ask, 'decode', now).length > 0
    const refusalOf = (one: WaitingRequest) =>
      isBound(one) && !mayWait(one) ? this.refuseUnservable(one.ask) : undefined
    this.queue
      .removeWhere((one) => refusalOf(one) !== undefined)
      .forEach((one) => one.resolve(refusalOf(one)!))
  }

  private refuse(reason: string, ask: PlaceAsk, now: Millis): PlaceDecision {
    return this.refusals.forCapacity(reason, ask, this.choice.coldWaitMs(ask, now))
  }

  private placeWaiting(now: Millis): void {
    this.budgets.markLeading(now)
    if (this.queue.size === 0) return
    for (const one of this.queue.inOrder(now)) {
      const placed = this.tryPlace(one, now)
      if (placed === undefined) continue
      this.queue.removeWhere((other) => other === one)
      one.resolve(placed)
    }
  }

  /** Returns how long a request may still wait for its first event to be in time, in milliseconds; negative if late. */
  private slackOf({ ask, since }: WaitingRequest, now: Millis): Millis {
    const { pace } = this.learned
    const prefillMs = ask.isPrefilled ? 0 : pace.prefillMs(ask.promptTokens) + pace.prefillLatencyMs()
    return ask.targetMs - (now - since) - prefillMs - STARTUP_MS
  }

  private tryPlace(waiting: WaitingRequest, now: Millis): Placed | undefined {
    const { ask, since } = waiting
    const engine = this.options.engine(ask.service)
    if (engine === undefined) return undefined
    const isInTime = this.queue.isInTime(waiting, now)
    const { memoryShare, lateMemoryShare } = this.tuning
    const pick = this.choice.choose(
      {
        ask,
        engine,
        isInTime,
        leftMs: ask.targetMs - (now - since),
        memoryShare: isInTime || ask.isPrefilled || ask.isBegun === true ? memoryShare : lateMemoryShare,
      },
      now,
    )
    return pick === undefined ? undefined : this.hold(waiting, pick, now)
  }

  private hold(waiting: WaitingRequest, pick: EnginePick, now: Millis): Placed {
    const { ask } = waiting
    const { decode, prefill, readsInMs, readTokens } = pick
    if (prefill === undefined && !ask.isPrefilled && readTokens !== 0)
      this.choice.recordLocalPrefill(decode.id, now)
    const decodingAt = prefill === undefined ? now + readsInMs : undefined
    const isReadAlone = prefill !== undefined && !this.holds.isPrefilling(prefill.id)
    if (prefill !== undefined) this.choice.cache.recordPlacement(ask, prefill.id)
    const place = { ask, prefill: prefill?.id, decode: decode.id, placedAt: now, readTokens }
    this.holds.add({ ...place, isReadAlone, decodingAt })
    const keptTokens = ask.promptTokens - (readTokens ?? ask.promptTokens) || undefined
    const grants = this.budgets.grant(pick, now - waiting.since, now)
    const placed: Placed = { type: 'placed', decode: decode.id, keptTokens, ...grants }
    if (prefill === undefined) return placed
    const { readElsewhereInMs } = pick
    return { ...placed, prefill: prefill.id, readsInMs: Math.round(readsInMs), readElsewhereInMs }
  }
}

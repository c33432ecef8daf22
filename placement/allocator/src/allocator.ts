import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import { Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { AnswerMove, PlaceAsk, PlaceDecision, Placed, ReportedHold, UseOutcome } from './allocatorTypes'
import type { ColdPolicy } from './coldBudget'
import { EngineBudgets, type LimitPolicy } from './engineBudgets'
import { BarredEngines } from './barredEngines'
import { EngineChoice, START_MS, type EngineOutlook, type EnginePick } from './engineChoice'
import { EnginePace } from './enginePace'
import { HoldBook } from './holdBook'
import { InstanceHealth } from './instanceHealth'
import { LengthForecast } from './lengthForecast'
import { MovePlanner } from './movePlanner'
import { PartOrders } from './partOrders'
import { AWAY_REASON, AWAY_RETRY_MS, COLD_REASON, refused, Refusals, UNKNOWN_SERVICE } from './refusals'
import { isOwnQueue } from './ownQueue'
import type { StageChange, StageNeed } from './planStages'
import { StagePlanner } from './stagePlanner'
import { WaitingRoom, type Waiting, type WaitingOrder } from './waitingRoom'

/** What engines and callers have shown so far; it outlives a term, in which places are counted anew. */
export interface Learned {
  pace: EnginePace
  forecast: LengthForecast
}

/** Options of {@link Allocator}. */
export interface AllocatorOptions {
  endpoints: () => RegisteredEndpoint[]
  /** What the engines of a service hold; undefined for a service that is not known. */
  engine: (service: string) => EnginePool | undefined
  /** Which region each failure domain belongs to; no region is known where left out. */
  topology?: Topology
  /** Whether an instance must get nothing now, though it is registered; none where left out. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  /** Called when an instance is out for a while. */
  onEjected?: (id: InstanceId, outcome: UseOutcome, forMs: Millis) => void
  tuning?: Partial<AllocatorTuning>
  /** What was learned before; nothing where left out. */
  learned?: Learned
  /** Which engines are cold and what they bear; none is where left out. */
  cold?: ColdPolicy
  /** Which engines name the rate that they take; none where left out. */
  limits?: LimitPolicy
}

/** What may be set for an experiment. */
export interface AllocatorTuning {
  /** How sure an answer's length forecast must be, from 0 to 1. */
  lengthCertainty: number
  /** The share of an engine's memory that forecasts may fill. */
  memoryShare: number
  /** The share that late requests may fill, so that those still in time find room. */
  lateMemoryShare: number
  /** Which go first: callers that came back, or those that come first; or by age alone. */
  order: WaitingOrder
}

const DEFAULT_TUNING: AllocatorTuning = {
  lengthCertainty: 0.7,
  memoryShare: 0.97,
  lateMemoryShare: 0.85,
  order: 'returns-last',
}

const NO_ENGINE_RETRY_MS = 700
/** Why a request is refused where every decode engine of its service must get nothing. */
const EVACUATED = 'evacuated'
/** In time waiting requests for each decode engine; more would wait in vain. */
const WAITING_PER_ENGINE = 4
/**
 * Decides for all entries where model requests go. Knows what every running answer holds and forecasts what
 * it will come to hold; places a request only where the peak to come fits, and holds it a while otherwise.
 */
export class Allocator {
  private readonly book: HoldBook
  private readonly health = new InstanceHealth()
  private readonly tuning: AllocatorTuning
  private readonly room: WaitingRoom
  private readonly refusals = new Refusals()
  private readonly orders = new PartOrders()
  private readonly learned: Learned
  private readonly choice: EngineChoice
  private readonly moves: MovePlanner
  private readonly budgets: EngineBudgets
  private readonly barred: BarredEngines
  private readonly stages: StagePlanner

  constructor(private readonly options: AllocatorOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning }
    this.learned = options.learned ?? { pace: new EnginePace(), forecast: new LengthForecast() }
    const { lengthCertainty } = this.tuning
    this.book = new HoldBook({ lengthCertainty, ...this.learned })
    this.budgets = new EngineBudgets(options.cold, options.limits)
    this.barred = new BarredEngines(options.isBarred)
    this.choice = new EngineChoice({
      budgets: this.budgets,
      endpoints: options.endpoints,
      topology: options.topology ?? new Topology(),
      barred: this.barred,
      engine: options.engine,
      book: this.book,
      health: this.health,
      pace: this.learned.pace,
      isChanging: (id, now) => this.isChanging(id, now),
    })
    this.moves = new MovePlanner({
      book: this.book,
      choice: this.choice,
      engine: options.engine,
      endpoints: options.endpoints,
      isChanging: (id, now) => this.isChanging(id, now),
      memoryShare: this.tuning.memoryShare,
    })
    this.stages = new StagePlanner({
      choice: this.choice,
      barred: this.barred,
      book: this.book,
      health: this.health,
      pace: this.learned.pace,
      orders: this.orders,
      engine: options.engine,
    })
    this.room = new WaitingRoom((one, now) => this.slackOf(one, now), this.tuning.order)
  }

  get waitingCount(): number {
    return this.room.size
  }

  get holdCount(): number {
    return this.book.size
  }

  /** Asks for a place; the answer comes at once or when there is room, at the latest after the hold time. */
  ask(ask: PlaceAsk, now: Millis, resolve: (decision: PlaceDecision) => void): void {
    if (!ask.isReturn && !ask.isPrefilled && ask.isBegun !== true)
      this.stages.noteDemand(ask.service, ask.promptTokens, this.book.heldTokens(ask), now)
    const refusal = this.refuseAtOnce(ask, now)
    if (refusal !== undefined) return resolve(refusal)
    this.room.add({ ask, since: now, isKept: false, resolve })
    this.placeWaiting(now)
  }

  /** Gives up waiting; a place that was given meanwhile is free again. */
  withdraw(request: string, now: Millis): void {
    this.room.takeWhere((one) => one.ask.request === request)
    this.release(request, 'cancelled', 0, now)
  }

  /** The prompt has been read; decoding begins. */
  notePrefilled(request: string, outcome: UseOutcome, tookMs: Millis, now: Millis): void {
    const hold = this.book.get(request)
    if (hold === undefined) return
    const isRead = outcome === 'ok'
    // Without a sending that is left the decode engine reads it; otherwise the entry asks for another place.
    const isReadThere = outcome === 'cancelled'
    this.book.noteDecoding(hold, isRead ? now : now + this.choice.ownReadingMs(hold.ask, now), isReadThere)
    if (hold.prefill === undefined) return
    this.choice.kept.noteStep(hold, outcome, tookMs, now)
    if (!isOwnQueue(hold, outcome)) this.noteUse(hold.prefill, outcome, now, tookMs)
    const isGivenUp = outcome === 'silent'
    if (isRead || isGivenUp) this.book.noteRead(hold, tookMs, isGivenUp, now)
    this.placeWaiting(now)
  }

  /**
   * Notes how a use of an instance ended or goes, apart from any hold.
   * @param tookMs how long the use took, or has taken so far.
   */
  noteUse(id: InstanceId, outcome: UseOutcome, now: Millis, tookMs: Millis = 0): void {
    // One that is cold is slow for a while, and no less well for that.
    if (outcome === 'silent' && this.budgets.isCold(id, now - tookMs)) return
    const forMs = this.health.note(id, outcome, now, tookMs)
    this.choice.kept.noteUse(id, outcome)
    this.choice.refresh()
    if (forMs > 0) this.options.onEjected?.(id, outcome, forMs)
  }

  /** Answers of an entry that should go on at another engine from now on; what they hold counts there. */
  planMoves(entry: string, now: Millis): AnswerMove[] {
    return this.moves.plan(this.book.runningOf(entry), now)
  }

  /**
   * The request has ended at its decode engine, having made some tokens there.
   * @param at the engine where it ended, which is another than it was placed at where it was moved.
   */
  release(request: string, outcome: UseOutcome, madeTokens: number, now: Millis, at?: InstanceId): void {
    const hold = this.book.get(request)
    if (hold === undefined) return
    this.book.remove(request)
    if (hold.decodingAt === undefined) this.choice.kept.noteStep(hold, 'cancelled', 0, now)
    if (!isOwnQueue(hold, outcome)) this.noteUse(at ?? hold.decode, outcome, now)
    if (madeTokens > 0) this.choice.kept.noteMade(hold.ask, at ?? hold.decode)
    this.room.noteEnd(hold.ask.service, now)
    // What a moved answer made since it was last heard of may have been made at two engines.
    if (outcome === 'ok' && madeTokens > 0 && hold.leaves === undefined)
      this.book.learnAnswer(hold, madeTokens, now)
    this.placeWaiting(now)
  }

  /** Takes what an entry says it holds: adopts what is not known here, drops what it no longer names. */
  adopt(entry: string, reported: ReportedHold[], now: Millis): void {
    this.choice.kept.noteReported(reported)
    for (const id of this.book.adopt(entry, reported, now)) this.health.noteProgress(id, now)
  }

  /** Drops what an entry held that is gone. */
  dropEntry(entry: string): void {
    this.book.dropEntry(entry)
    this.room.takeWhere((one) => one.ask.entry === entry)
  }

  /** Places what fits by now and refuses what has no hope or has waited too long. Called again and again. */
  tick(now: Millis): void {
    const endpoints = this.options.endpoints()
    const known = new Set(endpoints.map((endpoint) => endpoint.id))
    this.barred.note(endpoints, now)
    this.health.keepOnly(known)
    this.learned.pace.keepOnly(known)
    this.book.keepOnly(known)
    this.stages.keepOnly(known)
    this.choice.keepOnly(known)
    this.budgets.keepOnly(known)
    this.choice.kept.look(now)
    this.orders.keepOnly(known)
    this.choice.refresh()
    this.placeWaiting(now)
    const emptied = this.room.takeOfServices((service) => this.choice.isEmptied(service))
    for (const { ask, resolve } of emptied) resolve(this.refuse(EVACUATED, ask, now))
    const hopeless = this.room.takeHopeless(now)
    const overdue = this.room.takeWhere((one) => now - one.since >= one.ask.holdMs)
    for (const { ask, resolve } of hopeless) resolve(this.refuse('no room in sight', ask, now))
    for (const { ask, resolve } of overdue) resolve(this.refuse('no room in time', ask, now))
  }

  /** What a service's callers keep busy, in engines that are well; undefined where that is not known yet. */
  needOf(service: string, now: Millis): StageNeed | undefined {
    return this.stages.needOf(service, now)
  }

  /** The engine of a service that should change its part now, where one should. */
  planStage(service: string, now: Millis): StageChange | undefined {
    return this.stages.plan(service, now)
  }

  /** Gives an engine no work while it changes its part. */
  noteChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.orders.noteChanging(id, to, forMs, now)
    this.choice.kept.forget(id)
    this.choice.refresh()
  }

  /** Lets an engine work on, without another order, while it is not known what becomes of the last one. */
  noteOrdered(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.orders.noteOrdered(id, to, forMs, now)
  }

  /** What is believed of the engines that a request could use. */
  outlook(ask: PlaceAsk, now: Millis): EngineOutlook {
    return this.choice.outlook(ask, now)
  }

  /** An engine has started anew: what it kept of prompts is gone. */
  forgetKept(id: InstanceId): void {
    this.choice.kept.forget(id)
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return this.orders.isChanging(id, now)
  }

  private refuseAtOnce(ask: PlaceAsk, now: Millis): PlaceDecision | undefined {
    if (this.options.engine(ask.service) === undefined) return refused(UNKNOWN_SERVICE, NO_ENGINE_RETRY_MS)
    const decoders = this.choice.registered(ask.service, 'decode').length
    if (this.choice.isEmptied(ask.service)) return this.refuse(EVACUATED, ask, now)
    if (decoders === 0) return refused('no decode engine is known', NO_ENGINE_RETRY_MS)
    const atHome = this.choice.countAtHome(ask)
    if (atHome === 0) return refused(AWAY_REASON, AWAY_RETRY_MS)
    const patienceMs = ask.promptMs > 0 ? ask.promptMs : ask.holdMs
    if ((this.choice.coldWait(ask, now) ?? 0) > patienceMs) return this.refuse(COLD_REASON, ask, now)
    const isFull = ask.promptMs > 0 && this.room.countFirst(ask, now) >= atHome * WAITING_PER_ENGINE
    return isFull ? this.refuse('too many wait already', ask, now) : undefined
  }

  private refuse(reason: string, ask: PlaceAsk, now: Millis): PlaceDecision {
    return this.refusals.forRoom(reason, ask, this.choice.coldWait(ask, now))
  }

  private placeWaiting(now: Millis): void {
    this.budgets.noteLeads(now)
    if (this.room.size === 0) return
    for (const one of this.room.inOrder(now)) {
      const placed = this.tryPlace(one, now)
      if (placed === undefined) continue
      this.room.takeWhere((other) => other === one)
      one.resolve(placed)
    }
  }

  /** How long a request may still wait so that its first event is there in time. */
  private slackOf({ ask, since }: Waiting, now: Millis): Millis {
    const { pace } = this.learned
    const readingMs = ask.isPrefilled ? 0 : pace.readingMs(ask.promptTokens) + pace.readingLatencyMs()
    return ask.targetMs - (now - since) - readingMs - START_MS
  }

  private tryPlace(waiting: Waiting, now: Millis): Placed | undefined {
    const { ask, since } = waiting
    const engine = this.options.engine(ask.service)
    if (engine === undefined) return undefined
    const isInTime = this.room.isInTime(waiting, now)
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

  private hold(waiting: Waiting, pick: EnginePick, now: Millis): Placed {
    const { ask } = waiting
    const { decode, prefill, readsInMs, readTokens } = pick
    if (prefill === undefined && !ask.isPrefilled && readTokens !== 0)
      this.choice.noteReadsItself(decode.id, now)
    const decodingAt = prefill === undefined ? now + readsInMs : undefined
    const isReadAlone = prefill !== undefined && !this.book.isReading(prefill.id)
    if (prefill !== undefined) this.choice.kept.notePlaced(ask, prefill.id)
    const place = { ask, prefill: prefill?.id, decode: decode.id, placedAt: now, readTokens }
    this.book.add({ ...place, isReadAlone, decodingAt })
    const keptTokens = ask.promptTokens - (readTokens ?? ask.promptTokens) || undefined
    const counted = this.budgets.grant(pick, now - waiting.since, now)
    const placed: Placed = { type: 'placed', decode: decode.id, keptTokens, ...counted }
    if (prefill === undefined) return placed
    const { readElsewhereInMs } = pick
    return { ...placed, prefill: prefill.id, readsInMs: Math.round(readsInMs), readElsewhereInMs }
  }
}

import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import { Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type {
  AnswerMove,
  Hold,
  PlaceAsk,
  PlaceDecision,
  Placed,
  ReportedHold,
  UseOutcome,
} from './allocatorTypes'
import { DemandMeter } from './demandMeter'
import { EngineChoice, START_MS, type EngineOutlook, type EnginePick } from './engineChoice'
import { EnginePace } from './enginePace'
import { HoldBook } from './holdBook'
import { InstanceHealth } from './instanceHealth'
import { LengthForecast } from './lengthForecast'
import { MovePlanner } from './movePlanner'
import { PartOrders } from './partOrders'
import { planStages, type StageChange, type StageNeed, type StagedEngine } from './planStages'
import { NO_ENGINE_RETRY_MS, refused, refuseWithoutEngine } from './refusals'
import { SupplyMeter } from './supplyMeter'
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
  /** Called when an instance is out for a while. */
  onEjected?: (id: InstanceId, outcome: UseOutcome, forMs: Millis) => void
  tuning?: Partial<AllocatorTuning>
  /** What was learned before; nothing where left out. */
  learned?: Learned
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

/** Who is sent away for want of room comes back after these shares of its time left, spread evenly. */
const LEAST_RETRY_SHARE = 0.24
const MOST_RETRY_SHARE = 0.32
/** A step that spreads any number of requests evenly between 0 and 1. */
const GOLDEN_STEP = 0.618
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
  private sentAway = 0
  private readonly demand = new Map<string, DemandMeter>()
  private readonly orders = new PartOrders()
  private readonly supply = new SupplyMeter()
  private readonly learned: Learned
  private readonly choice: EngineChoice
  private readonly moves: MovePlanner

  constructor(private readonly options: AllocatorOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning }
    this.learned = options.learned ?? { pace: new EnginePace(), forecast: new LengthForecast() }
    const { lengthCertainty } = this.tuning
    this.book = new HoldBook({ lengthCertainty, ...this.learned })
    this.choice = new EngineChoice({
      endpoints: options.endpoints,
      topology: options.topology ?? new Topology(),
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
    if (!ask.isReturn && !ask.isPrefilled) this.noteDemand(ask, now)
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
    const forMs = this.health.note(id, outcome, now, tookMs)
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
    if (!isOwnQueue(hold, outcome)) this.noteUse(at ?? hold.decode, outcome, now)
    this.room.noteEnd(hold.ask.service, now)
    // What a moved answer made since it was last heard of may have been made at two engines.
    if (outcome === 'ok' && madeTokens > 0 && hold.leaves === undefined)
      this.book.learnAnswer(hold, madeTokens, now)
    this.placeWaiting(now)
  }

  /** Takes what an entry says it holds: adopts what is not known here, drops what it no longer names. */
  adopt(entry: string, reported: ReportedHold[], now: Millis): void {
    for (const id of this.book.adopt(entry, reported, now)) this.health.noteProgress(id, now)
  }

  /** Drops what an entry held that is gone. */
  dropEntry(entry: string): void {
    this.book.dropEntry(entry)
    this.room.takeWhere((one) => one.ask.entry === entry)
  }

  /** Places what fits by now and refuses what has no hope or has waited too long. Called again and again. */
  tick(now: Millis): void {
    const known = new Set(this.options.endpoints().map((endpoint) => endpoint.id))
    this.health.keepOnly(known)
    this.learned.pace.keepOnly(known)
    this.book.keepOnly(known)
    this.supply.keepOnly(known)
    this.choice.keepOnly(known)
    this.orders.keepOnly(known)
    this.choice.refresh()
    this.placeWaiting(now)
    const hopeless = this.room.takeHopeless(now)
    const overdue = this.room.takeWhere((one) => now - one.since >= one.ask.holdMs)
    for (const { ask, resolve } of hopeless) resolve(this.refusedForRoom('no room in sight', ask))
    for (const { ask, resolve } of overdue) resolve(this.refusedForRoom('no room in time', ask))
  }

  /** What a service's callers keep busy, in engines that are well; undefined where that is not known yet. */
  needOf(service: string, now: Millis): StageNeed | undefined {
    const engine = this.options.engine(service)
    const meter = this.demand.get(service)
    const { pace } = this.learned
    if (engine === undefined || meter?.isSure(now) !== true || !pace.isKnown) return undefined
    return meter.need(engine.kvTokens, pace, now)
  }

  /** The engine of a service that should change its part now, where one should. */
  planStage(service: string, now: Millis): StageChange | undefined {
    const engine = this.options.engine(service)
    const need = this.needOf(service, now)
    if (engine === undefined || need === undefined) return undefined
    const staged = (['prefill', 'decode'] as const)
      .flatMap((stage) => this.choice.registered(service, stage))
      // An engine that is out for a moment will be back before another has changed its part.
      .filter((one) => !this.health.isLost(one.id, now, engine.stageChangeMs))
      // A prefill engine that refuses whatever comes is carrying out an order that nobody here knows of.
      .filter((one) => one.stage !== 'prefill' || !this.health.isBusy(one.id))
      .map((one) => this.toStaged(one, now))
    return planStages(staged, need)
  }

  /** Gives an engine no work while it changes its part. */
  noteChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.orders.noteChanging(id, to, forMs, now)
    this.choice.refresh()
  }

  /** Lets an engine work on, without another order, while it is not known what becomes of the last one. */
  noteOrdered(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.orders.noteOrdered(id, to, forMs, now)
  }

  private toStaged(endpoint: RegisteredEndpoint, now: Millis): StagedEngine {
    const part = this.orders.partOf(endpoint.id, now)
    const { slowness } = this.learned.pace.view(endpoint.id, endpoint.stage!, now)
    return {
      id: endpoint.id,
      stage: part ?? endpoint.stage!,
      freeInMs: this.book.freeInMs(endpoint.id, now),
      isChanging: part !== undefined,
      supply: this.supply.note(endpoint.id, slowness, now),
    }
  }

  /** What is believed of the engines that a request could use. */
  outlook(ask: PlaceAsk, now: Millis): EngineOutlook {
    return this.choice.outlook(ask, now)
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return this.orders.isChanging(id, now)
  }

  private noteDemand(ask: PlaceAsk, now: Millis): void {
    const meter = this.demand.get(ask.service) ?? new DemandMeter()
    this.demand.set(ask.service, meter)
    meter.note(ask.promptTokens, this.book.heldTokens(ask), now)
  }

  private refuseAtOnce(ask: PlaceAsk, now: Millis): PlaceDecision | undefined {
    if (this.options.engine(ask.service) === undefined)
      return refused('the service is not known', NO_ENGINE_RETRY_MS)
    const without = refuseWithoutEngine(this.choice, ask)
    if (without !== undefined) return without
    const decoders = this.choice.registered(ask.service, 'decode').length
    const isFull = ask.promptMs > 0 && this.room.countFirst(ask.service, now) >= decoders * WAITING_PER_ENGINE
    return isFull ? this.refusedForRoom('too many wait already', ask) : undefined
  }

  /** Callers that come back do so one after the other, late enough for a short peak to have passed. */
  private refusedForRoom(reason: string, ask: PlaceAsk): PlaceDecision {
    this.sentAway += 1
    const spread = (this.sentAway * GOLDEN_STEP) % 1
    const share = LEAST_RETRY_SHARE + (MOST_RETRY_SHARE - LEAST_RETRY_SHARE) * spread
    return refused(reason, ask.leftMs * share)
  }

  private placeWaiting(now: Millis): void {
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
        memoryShare: isInTime || ask.isPrefilled ? memoryShare : lateMemoryShare,
      },
      now,
    )
    return pick === undefined ? undefined : this.hold(ask, pick, now)
  }

  private hold(ask: PlaceAsk, pick: EnginePick, now: Millis): Placed {
    const { decode, prefill, readsInMs, queuedMs } = pick
    if (prefill === undefined && !ask.isPrefilled) this.choice.noteReadsItself(decode.id, now)
    const decodingAt = prefill === undefined ? now + readsInMs : undefined
    const isReadAlone = prefill !== undefined && queuedMs === 0
    this.book.add({ ask, prefill: prefill?.id, decode: decode.id, placedAt: now, isReadAlone, decodingAt })
    if (prefill === undefined) return { type: 'placed', decode: decode.id }
    return {
      type: 'placed',
      prefill: prefill.id,
      decode: decode.id,
      readsInMs: Math.round(readsInMs),
      readElsewhereInMs: pick.readElsewhereInMs,
    }
  }
}

/** Entries that place alone, or an earlier leader, may have queued more at an engine than it could do in time. */
function isOwnQueue(hold: Hold, outcome: UseOutcome): boolean {
  return outcome === 'silent' && hold.isAdopted === true
}

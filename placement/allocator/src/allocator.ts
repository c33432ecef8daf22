import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision, Placed, ReportedHold, UseOutcome } from './allocatorTypes'
import { DemandMeter } from './demandMeter'
import { HoldBook } from './holdBook'
import { InstanceHealth } from './instanceHealth'
import { planStages, type StageChange, type StagedEngine } from './planStages'
import { WaitingRoom, type Waiting, type WaitingOrder } from './waitingRoom'

/** Options of {@link Allocator}. */
export interface AllocatorOptions {
  endpoints: () => RegisteredEndpoint[]
  /** What the engines of a service hold; undefined for a service that is not known. */
  engine: (service: string) => EnginePool | undefined
  /** Called when an instance is out for a while. */
  onEjected?: (id: InstanceId, outcome: UseOutcome, forMs: Millis) => void
  tuning?: Partial<AllocatorTuning>
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

/** Who reads a prompt: a prefill engine, or the decode engine itself. */
type Reader = RegisteredEndpoint | 'decode'

/** From the end of reading to the first event, with what the network takes. */
const START_MS = 60
/** A late request waits for a prefill queue shorter than this, its own reading included. */
const LATE_READING_MS = 500
/** A decode engine reads at half the pace of a prefill engine. */
const OWN_READING_FACTOR = 2
const OWN_READING_PAUSE_MS = 700
/** A prefill engine of another zone must be this much sooner. */
const OTHER_ZONE_MS = 30
/** Who is sent away for want of room comes back after these shares of its time left, spread evenly. */
const LEAST_RETRY_SHARE = 0.24
const MOST_RETRY_SHARE = 0.32
/** A step that spreads any number of requests evenly between 0 and 1. */
const GOLDEN_STEP = 0.618
const NO_ENGINE_RETRY_MS = 700
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
  /** Engines that change their part, until when they are left alone. */
  private readonly changing = new Map<InstanceId, { to: Stage; until: Millis }>()
  /** Engines that may still carry out an order, or refused one: they work on, but get no other order. */
  private readonly ordered = new Map<InstanceId, { to: Stage; until: Millis }>()
  /** When each decode engine last began to read a prompt itself. */
  private readonly readsItself = new Map<InstanceId, Millis>()

  constructor(private readonly options: AllocatorOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning }
    this.book = new HoldBook(this.tuning.lengthCertainty)
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
    hold.decodingAt = now
    if (hold.prefill === undefined) return
    this.noteUse(hold.prefill, outcome, now)
    if (outcome === 'ok' && tookMs > 0 && hold.isReadAlone === true)
      this.book.learnReading(hold.ask.promptTokens, tookMs)
    this.placeWaiting(now)
  }

  /** Notes how a use of an instance ended or goes, apart from any hold. */
  noteUse(id: InstanceId, outcome: UseOutcome, now: Millis): void {
    const forMs = this.health.note(id, outcome, now)
    if (forMs > 0) this.options.onEjected?.(id, outcome, forMs)
  }

  /** The request has ended at its decode engine, having made some tokens there. */
  release(request: string, outcome: UseOutcome, madeTokens: number, now: Millis): void {
    const hold = this.book.get(request)
    if (hold === undefined) return
    this.book.remove(request)
    this.noteUse(hold.decode, outcome, now)
    this.room.noteEnd(hold.ask.service, now)
    if (outcome === 'ok' && madeTokens > 0) this.book.learnAnswer(hold, madeTokens, now)
    this.placeWaiting(now)
  }

  /** Takes what an entry says it holds: adopts what is not known here, drops what it no longer names. */
  adopt(entry: string, reported: ReportedHold[], now: Millis): void {
    this.book.adopt(entry, reported, now)
  }

  /** Drops what an entry held that is gone. */
  dropEntry(entry: string): void {
    this.book.dropEntry(entry)
    this.room.takeWhere((one) => one.ask.entry === entry)
  }

  /** Places what fits by now and refuses what has no hope or has waited too long. Called again and again. */
  tick(now: Millis): void {
    this.health.keepOnly(new Set(this.options.endpoints().map((endpoint) => endpoint.id)))
    this.placeWaiting(now)
    const hopeless = this.room.takeHopeless(now)
    const overdue = this.room.takeWhere((one) => now - one.since >= one.ask.holdMs)
    for (const { ask, resolve } of hopeless) resolve(this.refusedForRoom('no room in sight', ask))
    for (const { ask, resolve } of overdue) resolve(this.refusedForRoom('no room in time', ask))
  }

  /** The engine of a service that should change its part now, where one should. */
  planStage(service: string, now: Millis): StageChange | undefined {
    const engine = this.options.engine(service)
    const meter = this.demand.get(service)
    if (engine === undefined || meter?.isSure(now) !== true) return undefined
    const staged = this.options
      .endpoints()
      .filter((one) => one.service === service && one.state === 'ready' && one.stage !== undefined)
      // An engine that is out for a moment will be back before another has changed its part.
      .filter((one) => !this.health.isGone(one.id) && !this.health.isLost(one.id))
      // A prefill engine that refuses whatever comes is carrying out an order that nobody here knows of.
      .filter((one) => one.stage !== 'prefill' || !this.health.isBusy(one.id))
      .map((one) => this.toStaged(one, now))
    return planStages(staged, meter.need(engine.kvTokens, now))
  }

  /** Gives an engine no work while it changes its part. */
  noteChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.changing.set(id, { to, until: now + forMs })
  }

  /** Lets an engine work on, without another order, while it is not known what becomes of the last one. */
  noteOrdered(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.ordered.set(id, { to, until: now + forMs })
  }

  private toStaged(endpoint: RegisteredEndpoint, now: Millis): StagedEngine {
    const order = [this.changing, this.ordered]
      .map((orders) => orders.get(endpoint.id))
      .find((one) => one !== undefined && one.until > now)
    const stage = order?.to ?? endpoint.stage!
    return { id: endpoint.id, stage, uses: this.book.usesOf(endpoint.id), isChanging: order !== undefined }
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return (this.changing.get(id)?.until ?? 0) > now
  }

  private noteDemand(ask: PlaceAsk, now: Millis): void {
    const meter = this.demand.get(ask.service) ?? new DemandMeter()
    this.demand.set(ask.service, meter)
    meter.note(this.book.readingMs(ask), this.book.tokenMs(ask), now)
  }

  private refuseAtOnce(ask: PlaceAsk, now: Millis): PlaceDecision | undefined {
    if (this.options.engine(ask.service) === undefined)
      return refused('the service is not known', NO_ENGINE_RETRY_MS)
    const decoders = this.registered(ask.service, 'decode').length
    if (decoders === 0) return refused('no decode engine is known', NO_ENGINE_RETRY_MS)
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
    const readingMs = ask.isPrefilled ? 0 : this.book.readingMs(ask)
    return ask.targetMs - (now - since) - readingMs - START_MS
  }

  private tryPlace(waiting: Waiting, now: Millis): Placed | undefined {
    const { ask } = waiting
    const engine = this.options.engine(ask.service)
    if (engine === undefined) return undefined
    const decode = this.chooseDecode(waiting, engine, now)
    if (decode === undefined) return undefined
    const reader = this.chooseReader(waiting, decode, now)
    if (reader === undefined) return undefined
    if (reader !== 'decode') return this.hold(ask, decode, now, reader)
    if (ask.isPrefilled) return this.hold(ask, decode, now)
    this.readsItself.set(decode.id, now)
    return this.hold(ask, decode, now + this.book.readingMs(ask) * OWN_READING_FACTOR)
  }

  /** Takes a place; `decodesAt` lies ahead where the decode engine reads the prompt itself. */
  private hold(
    ask: PlaceAsk,
    decode: RegisteredEndpoint,
    decodesAt: Millis,
    prefill?: RegisteredEndpoint,
  ): Placed {
    const decodingAt = prefill === undefined ? decodesAt : undefined
    const waitMs = prefill === undefined ? 0 : this.book.prefillWait(prefill.id)
    this.book.add({
      ask,
      prefill: prefill?.id,
      decode: decode.id,
      placedAt: decodesAt,
      isReadAlone: prefill !== undefined && waitMs === 0,
      decodingAt,
    })
    if (prefill === undefined) return { type: 'placed', decode: decode.id }
    const readsInMs = Math.round(waitMs + this.book.readingMs(ask))
    return { type: 'placed', prefill: prefill.id, decode: decode.id, readsInMs }
  }

  /** Who reads the prompt, so that the request is not late for it; undefined where it has to wait. */
  private chooseReader(waiting: Waiting, decode: RegisteredEndpoint, now: Millis): Reader | undefined {
    const { ask, since } = waiting
    const readers = ask.isPrefilled ? [] : this.engines(ask, 'prefill', now)
    if (readers.length === 0) return 'decode'
    const free = readers.filter((endpoint) => !this.health.isFull(endpoint.id, now))
    const soonest = this.soonest(free, decode.zone)
    if (soonest === undefined) {
      // Engines that have just refused are back in a moment, unless they do nothing else.
      return readers.every((endpoint) => this.health.isBusy(endpoint.id)) ? 'decode' : undefined
    }
    const isInTime = this.room.isInTime(waiting, now)
    const left = isInTime ? ask.targetMs - (now - since) : LATE_READING_MS
    const readingMs = this.book.readingMs(ask)
    if (soonest.wait + readingMs + START_MS <= left) return soonest.endpoint
    const isTime = readingMs * OWN_READING_FACTOR + START_MS <= left
    return isInTime && isTime && this.mayReadItself(decode.id, now) ? 'decode' : undefined
  }

  /** Reading at a decode engine holds up what it makes, so that it must not come too often. */
  private mayReadItself(id: InstanceId, now: Millis): boolean {
    return now - (this.readsItself.get(id) ?? -Infinity) >= OWN_READING_PAUSE_MS
  }

  /** The decode engine whose memory to come is the least filled with the request, where it fits at all. */
  private chooseDecode(waiting: Waiting, engine: EnginePool, now: Millis): RegisteredEndpoint | undefined {
    const { ask } = waiting
    const { memoryShare, lateMemoryShare } = this.tuning
    const share = this.room.isInTime(waiting, now) || ask.isPrefilled ? memoryShare : lateMemoryShare
    const fitting = this.engines(ask, 'decode', now)
      .filter((endpoint) => !this.health.isFull(endpoint.id, now))
      .map((endpoint) => ({
        endpoint,
        peak: this.book.peakWith(ask, endpoint.id, now),
        count: this.book.countAt(endpoint.id),
      }))
      .filter(({ peak, count }) => count < engine.slots && (peak <= engine.kvTokens * share || count === 0))
    fitting.sort((left, right) => left.peak - right.peak)
    return fitting[0]?.endpoint
  }

  /** The prefill engine that comes to a prompt first, where its memory is near. */
  private soonest(readers: RegisteredEndpoint[], zone: string) {
    const waits = readers.map((endpoint) => {
      const away = endpoint.zone === zone ? 0 : OTHER_ZONE_MS
      return { endpoint, wait: this.book.prefillWait(endpoint.id) + away }
    })
    waits.sort((left, right) => left.wait - right.wait)
    return waits[0]
  }

  private registered(service: string, stage: Stage): RegisteredEndpoint[] {
    return this.options
      .endpoints()
      .filter((one) => one.service === service && one.stage === stage && one.state === 'ready')
      .filter((one) => !this.health.isGone(one.id))
  }

  /** Engines that may get the request now or in a moment; unsound ones only where no other decodes. */
  private engines(ask: PlaceAsk, stage: Stage, now: Millis): RegisteredEndpoint[] {
    const fitting = this.registered(ask.service, stage).filter(
      (one) => !this.isChanging(one.id, now) && !ask.except.includes(one.id),
    )
    const sound = fitting.filter((one) => this.health.isSound(one.id, now))
    return sound.length > 0 || stage === 'prefill' ? sound : fitting
  }
}

function refused(reason: string, retryAfterMs: Millis): PlaceDecision {
  return { type: 'refused', reason, retryAfterMs }
}

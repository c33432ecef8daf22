import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision, Placed, ReportedHold, UseOutcome } from './allocatorTypes'
import { DemandMeter } from './demandMeter'
import { HoldBook } from './holdBook'
import { InstanceHealth } from './instanceHealth'
import { planStages, type StageChange, type StagedEngine } from './planStages'
import { isInTime, waitingOrder, type Waiting } from './waitingOrder'

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
}

const DEFAULT_TUNING: AllocatorTuning = { lengthCertainty: 0.6, memoryShare: 0.97, lateMemoryShare: 0.85 }

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
const BUSY_RETRY_MS = 2_500
/** Each request that waits puts off those that are sent away by this much, up to a longest time. */
const RETRY_STEP_MS = 200
const LONGEST_RETRY_MS = 4_500
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
  private waiting: Waiting[] = []
  private readonly demand = new Map<string, DemandMeter>()
  /** Engines that change their part, until when they are left alone. */
  private readonly changing = new Map<InstanceId, { to: Stage; until: Millis }>()
  /** When each decode engine last began to read a prompt itself. */
  private readonly readsItself = new Map<InstanceId, Millis>()

  constructor(private readonly options: AllocatorOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning }
    this.book = new HoldBook(this.tuning.lengthCertainty)
  }

  get waitingCount(): number {
    return this.waiting.length
  }

  get holdCount(): number {
    return this.book.size
  }

  /** Asks for a place; the answer comes at once or when there is room, at the latest after the hold time. */
  ask(ask: PlaceAsk, now: Millis, resolve: (decision: PlaceDecision) => void): void {
    if (isInTime(ask) && !ask.isPrefilled) this.noteDemand(ask, now)
    const refusal = this.refuseAtOnce(ask)
    if (refusal !== undefined) return resolve(refusal)
    this.waiting.push({ ask, since: now, resolve })
    this.placeWaiting(now)
  }

  /** Gives up waiting; a place that was given meanwhile is free again. */
  withdraw(request: string, now: Millis): void {
    this.waiting = this.waiting.filter((one) => one.ask.request !== request)
    this.release(request, 'cancelled', 0, now)
  }

  /** The prompt has been read; decoding begins. */
  notePrefilled(request: string, outcome: UseOutcome, tookMs: Millis, now: Millis): void {
    const hold = this.book.get(request)
    if (hold === undefined) return
    hold.decodingAt = now
    if (hold.prefill === undefined) return
    this.noteUse(hold.prefill, outcome, now)
    if (outcome === 'ok' && tookMs > 0) this.book.learnReading(hold.ask.promptTokens, tookMs)
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
    this.waiting = this.waiting.filter((one) => one.ask.entry !== entry)
  }

  /** Places what fits by now and refuses what has waited too long. Called again and again. */
  tick(now: Millis): void {
    this.health.keepOnly(new Set(this.options.endpoints().map((endpoint) => endpoint.id)))
    this.placeWaiting(now)
    const overdue = this.waiting.filter((one) => now - one.since >= one.ask.holdMs)
    this.waiting = this.waiting.filter((one) => !overdue.includes(one))
    for (const one of overdue) one.resolve(refused('no room in time', this.busyRetryMs()))
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
      .map((one) => this.toStaged(one, now))
    return planStages(staged, meter.need(engine.kvTokens, now))
  }

  /** Gives an engine no work while it changes its part, or is left alone after it refused to. */
  noteChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.changing.set(id, { to, until: now + forMs })
  }

  private toStaged(endpoint: RegisteredEndpoint, now: Millis): StagedEngine {
    const isChanging = this.isChanging(endpoint.id, now)
    const stage = isChanging ? this.changing.get(endpoint.id)!.to : endpoint.stage!
    return { id: endpoint.id, stage, uses: this.book.usesOf(endpoint.id), isChanging }
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return (this.changing.get(id)?.until ?? 0) > now
  }

  private noteDemand(ask: PlaceAsk, now: Millis): void {
    const meter = this.demand.get(ask.service) ?? new DemandMeter()
    this.demand.set(ask.service, meter)
    meter.note(this.book.readingMs(ask), this.book.tokenMs(ask), now)
  }

  private refuseAtOnce(ask: PlaceAsk): PlaceDecision | undefined {
    if (this.options.engine(ask.service) === undefined)
      return refused('the service is not known', NO_ENGINE_RETRY_MS)
    const decoders = this.registered(ask.service, 'decode').length
    if (decoders === 0) return refused('no decode engine is known', NO_ENGINE_RETRY_MS)
    const inTime = this.waiting.filter((one) => one.ask.service === ask.service && isInTime(one.ask)).length
    const isFull = isInTime(ask) && !ask.isPrefilled && inTime >= decoders * WAITING_PER_ENGINE
    return isFull ? refused('too many wait already', this.busyRetryMs()) : undefined
  }

  private busyRetryMs(): Millis {
    return Math.min(LONGEST_RETRY_MS, BUSY_RETRY_MS + this.waiting.length * RETRY_STEP_MS)
  }

  private placeWaiting(now: Millis): void {
    if (this.waiting.length === 0) return
    const left: Waiting[] = []
    for (const one of waitingOrder(this.waiting)) {
      const placed = this.tryPlace(one, now)
      if (placed === undefined) left.push(one)
      else one.resolve(placed)
    }
    this.waiting = left
  }

  private tryPlace(waiting: Waiting, now: Millis): Placed | undefined {
    const { ask } = waiting
    const engine = this.options.engine(ask.service)
    if (engine === undefined) return undefined
    const decode = this.chooseDecode(ask, engine, now)
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
    this.book.add({
      ask,
      prefill: prefill?.id,
      decode: decode.id,
      placedAt: decodesAt,
      decodingAt,
    })
    return { type: 'placed', prefill: prefill?.id, decode: decode.id }
  }

  /** Who reads the prompt, so that the request is not late for it; undefined where it has to wait. */
  private chooseReader(waiting: Waiting, decode: RegisteredEndpoint, now: Millis): Reader | undefined {
    const { ask, since } = waiting
    const readers = ask.isPrefilled ? [] : this.engines(ask, 'prefill', now)
    if (readers.length === 0) return 'decode'
    const free = readers.filter((endpoint) => !this.health.isFull(endpoint.id, now))
    const soonest = this.soonest(free, decode.zone)
    // Engines that have just refused are back in a moment.
    if (soonest === undefined) return undefined
    const left = isInTime(ask) ? ask.targetMs - (now - since) : LATE_READING_MS
    const readingMs = this.book.readingMs(ask)
    if (soonest.wait + readingMs + START_MS <= left) return soonest.endpoint
    const isTime = readingMs * OWN_READING_FACTOR + START_MS <= left
    return isInTime(ask) && isTime && this.mayReadItself(decode.id, now) ? 'decode' : undefined
  }

  /** Reading at a decode engine holds up what it makes, so that it must not come too often. */
  private mayReadItself(id: InstanceId, now: Millis): boolean {
    return now - (this.readsItself.get(id) ?? -Infinity) >= OWN_READING_PAUSE_MS
  }

  /** The decode engine whose memory to come is the least filled with the request, where it fits at all. */
  private chooseDecode(ask: PlaceAsk, engine: EnginePool, now: Millis): RegisteredEndpoint | undefined {
    const { memoryShare, lateMemoryShare } = this.tuning
    const share = isInTime(ask) || ask.isPrefilled ? memoryShare : lateMemoryShare
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

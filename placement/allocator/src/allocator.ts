import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, PlaceDecision, Placed, ReportedHold, UseOutcome } from './allocatorTypes'
import { DemandMeter } from './demandMeter'
import { InstanceHealth } from './instanceHealth'
import { LengthForecast, lengthQuantile } from './lengthForecast'
import { peakMemory, type Growing } from './peakMemory'
import { planStages, type StageChange } from './planStages'

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

const DEFAULT_TUNING: AllocatorTuning = { lengthCertainty: 0.6, memoryShare: 0.97, lateMemoryShare: 0.8 }

/** A request that waits for a place. */
interface Waiting {
  ask: PlaceAsk
  since: Millis
  resolve: (decision: PlaceDecision) => void
}

const FIRST_MS_PER_TOKEN = 0.8
const FIRST_PROMPT_TOKENS_PER_MS = 40
const RATE_WEIGHT = 0.1
/** A prefill queue longer than this is no place for a request that should still be in time. */
const PREFILL_MARGIN_MS = 60
/** A prefill engine of another zone must be this much sooner. */
const OTHER_ZONE_MS = 30
const BUSY_RETRY_MS = 2_500
/** Each request that waits puts off those that are sent away by this much, up to a longest time. */
const RETRY_STEP_MS = 200
const LONGEST_RETRY_MS = 4_500
const NO_ENGINE_RETRY_MS = 700
/** In time waiting requests for each decode engine; more would wait in vain. */
const WAITING_PER_ENGINE = 4
/** A hold that its entry does not name any more is dropped once it is this old. */
const UNNAMED_HOLD_MS = 1_000

/**
 * Decides for all entries where model requests go. Knows what every running answer holds and forecasts what
 * it will come to hold; places a request only where the peak to come fits, and holds it a while otherwise.
 */
export class Allocator {
  private readonly holds = new Map<string, Hold>()
  private readonly health = new InstanceHealth()
  private readonly forecast = new LengthForecast()
  private readonly tuning: AllocatorTuning
  private waiting: Waiting[] = []
  private readonly msPerToken = new Map<InstanceId, number>()
  private readonly demand = new Map<string, DemandMeter>()
  /** Engines that change their part, until when they are left alone. */
  private readonly changing = new Map<InstanceId, Millis>()
  private promptTokensPerMs = FIRST_PROMPT_TOKENS_PER_MS

  constructor(private readonly options: AllocatorOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning }
  }

  get waitingCount(): number {
    return this.waiting.length
  }

  get holdCount(): number {
    return this.holds.size
  }

  /** Asks for a place; the answer comes at once or when there is room, at the latest after the hold time. */
  ask(ask: PlaceAsk, now: Millis, resolve: (decision: PlaceDecision) => void): void {
    if (!ask.isPrefilled) this.noteDemand(ask, now)
    const refusal = this.refuseAtOnce(ask)
    if (refusal !== undefined) return resolve(refusal)
    this.waiting.push({ ask, since: now, resolve })
    this.waiting.sort(moreUrgent)
    this.placeWaiting(now)
  }

  /** Gives up waiting; a place that was given meanwhile is free again. */
  withdraw(request: string, now: Millis): void {
    this.waiting = this.waiting.filter((one) => one.ask.request !== request)
    this.release(request, 'cancelled', 0, now)
  }

  /** The prompt has been read; decoding begins. */
  notePrefilled(request: string, outcome: UseOutcome, tookMs: Millis, now: Millis): void {
    const hold = this.holds.get(request)
    if (hold === undefined) return
    hold.decodingAt = now
    if (hold.prefill === undefined) return
    this.noteUse(hold.prefill, outcome, now)
    if (outcome === 'ok' && tookMs > 0) {
      const rate = hold.ask.promptTokens / tookMs
      this.promptTokensPerMs += (rate - this.promptTokensPerMs) * RATE_WEIGHT
    }
    this.placeWaiting(now)
  }

  /** Notes how a use of an instance ended or goes, apart from any hold. */
  noteUse(id: InstanceId, outcome: UseOutcome, now: Millis): void {
    const forMs = this.health.note(id, outcome, now)
    if (forMs > 0) this.options.onEjected?.(id, outcome, forMs)
  }

  /** The request has ended at its decode engine, having made some tokens there. */
  release(request: string, outcome: UseOutcome, madeTokens: number, now: Millis): void {
    const hold = this.holds.get(request)
    if (hold === undefined) return
    this.holds.delete(request)
    this.noteUse(hold.decode, outcome, now)
    if (outcome === 'ok' && madeTokens > 0) this.learn(hold, madeTokens, now)
    this.placeWaiting(now)
  }

  /** Takes what an entry says it holds: adopts what is not known here, drops what it no longer names. */
  adopt(entry: string, reported: ReportedHold[], now: Millis): void {
    const named = new Set(reported.map((one) => one.ask.request))
    for (const [request, hold] of this.holds) {
      const isDropped =
        hold.ask.entry === entry && !named.has(request) && now - hold.placedAt > UNNAMED_HOLD_MS
      if (isDropped) this.holds.delete(request)
    }
    for (const one of reported) {
      if (this.holds.has(one.ask.request)) continue
      const decodingAt = one.decodingForMs === undefined ? undefined : now - one.decodingForMs
      const { ask, prefill, decode } = one
      this.holds.set(ask.request, { ask, prefill, decode, placedAt: now - one.ageMs, decodingAt })
    }
  }

  /** Drops what an entry held that is gone. */
  dropEntry(entry: string): void {
    for (const [request, hold] of this.holds) if (hold.ask.entry === entry) this.holds.delete(request)
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
    if ([...this.changing.values()].some((until) => until > now)) return undefined
    const staged = this.options
      .endpoints()
      .filter((one) => one.service === service && one.state === 'ready' && one.stage !== undefined)
      .filter((one) => this.health.isSound(one.id, now))
      .map(({ id, stage }) => ({ id, stage: stage!, uses: this.usesOf(id) }))
    return planStages(staged, meter.need(engine.kvTokens, now))
  }

  /** Gives an engine no work while it changes its part. */
  noteChanging(id: InstanceId, forMs: Millis, now: Millis): void {
    this.changing.set(id, now + forMs)
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return (this.changing.get(id) ?? 0) > now
  }

  private usesOf(id: InstanceId): number {
    return [...this.holds.values()].filter((hold) => hold.decode === id || hold.prefill === id).length
  }

  private noteDemand(ask: PlaceAsk, now: Millis): void {
    const meter = this.demand.get(ask.service) ?? new DemandMeter()
    this.demand.set(ask.service, meter)
    const prior = this.forecast.expect(ask.className, ask.hintTokens, ask.mostTokens)
    const length = Math.min(ask.mostTokens, Math.exp(prior.mu + prior.sigma ** 2 / 2))
    const tokenMs = (ask.promptTokens + length / 2) * length * this.meanMsPerToken()
    meter.note(ask.promptTokens / this.promptTokensPerMs, tokenMs, now)
  }

  private meanMsPerToken(): Millis {
    const rates = [...this.msPerToken.values()]
    if (rates.length === 0) return FIRST_MS_PER_TOKEN
    return rates.reduce((sum, rate) => sum + rate, 0) / rates.length
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
    for (const one of this.waiting) {
      const placed = this.tryPlace(one.ask, now)
      if (placed === undefined) left.push(one)
      else one.resolve(placed)
    }
    this.waiting = left
  }

  private tryPlace(ask: PlaceAsk, now: Millis): Placed | undefined {
    const engine = this.options.engine(ask.service)
    if (engine === undefined) return undefined
    const decode = this.chooseDecode(ask, engine, now)
    if (decode === undefined) return undefined
    const readers = ask.isPrefilled ? [] : this.engines(ask, 'prefill', now)
    const free = readers.filter((endpoint) => !this.health.isFull(endpoint.id, now))
    if (readers.length > 0 && free.length === 0) return undefined
    const prefill = this.soonest(free, decode.zone)
    const decodingAt = ask.isPrefilled ? now : undefined
    this.holds.set(ask.request, { ask, prefill: prefill?.id, decode: decode.id, placedAt: now, decodingAt })
    return { type: 'placed', prefill: prefill?.id, decode: decode.id }
  }

  /** The decode engine whose memory to come is the least filled with the request, where it fits at all. */
  private chooseDecode(ask: PlaceAsk, engine: EnginePool, now: Millis): RegisteredEndpoint | undefined {
    const { memoryShare, lateMemoryShare } = this.tuning
    const share = isInTime(ask) || ask.isPrefilled ? memoryShare : lateMemoryShare
    const fitting = this.engines(ask, 'decode', now)
      .filter((endpoint) => !this.health.isFull(endpoint.id, now))
      .map((endpoint) => ({
        endpoint,
        peak: this.peakWith(ask, endpoint.id, now),
        count: this.countAt(endpoint.id),
      }))
      .filter(({ peak, count }) => count < engine.slots && (peak <= engine.kvTokens * share || count === 0))
    fitting.sort((left, right) => left.peak - right.peak)
    return fitting[0]?.endpoint
  }

  /** The prefill engine that has read a prompt first, where its memory is near. */
  private soonest(readers: RegisteredEndpoint[], zone: string): RegisteredEndpoint | undefined {
    const waits = readers.map((endpoint) => {
      const away = endpoint.zone === zone ? 0 : OTHER_ZONE_MS
      return { endpoint, wait: this.prefillWait(endpoint.id) + away }
    })
    waits.sort((left, right) => left.wait - right.wait)
    return waits[0]?.endpoint
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

  private holdsAt(id: InstanceId): Hold[] {
    return [...this.holds.values()].filter((hold) => hold.decode === id)
  }

  private countAt(id: InstanceId): number {
    return this.holdsAt(id).length
  }

  private peakWith(ask: PlaceAsk, id: InstanceId, now: Millis): number {
    const growing = this.holdsAt(id).map((hold) => this.forecastHold(hold, now))
    growing.push(this.forecastAsk(ask, 0))
    return peakMemory(growing)
  }

  private forecastHold(hold: Hold, now: Millis): Growing {
    const rate = this.msPerToken.get(hold.decode) ?? FIRST_MS_PER_TOKEN
    const made = hold.decodingAt === undefined ? 0 : Math.max(0, now - hold.decodingAt) / rate
    return this.forecastAsk(hold.ask, made)
  }

  private forecastAsk(ask: PlaceAsk, madeUnbound: number): Growing {
    const made = Math.min(madeUnbound, ask.mostTokens)
    const prior = this.forecast.expect(ask.className, ask.hintTokens, ask.mostTokens)
    const length = lengthQuantile(prior, made, ask.mostTokens, this.tuning.lengthCertainty)
    return { held: ask.promptTokens + made, toCome: Math.max(0, length - made) }
  }

  /** How long a prompt waits at a prefill engine until it is read, in milliseconds. */
  private prefillWait(id: InstanceId): Millis {
    const ahead = [...this.holds.values()].filter(
      (hold) => hold.prefill === id && hold.decodingAt === undefined,
    )
    const tokens = ahead.reduce((sum, hold) => sum + hold.ask.promptTokens, 0)
    return tokens / this.promptTokensPerMs + PREFILL_MARGIN_MS
  }

  private learn(hold: Hold, madeTokens: number, now: Millis): void {
    this.forecast.learn(hold.ask.className, hold.ask.hintTokens, madeTokens)
    if (hold.decodingAt === undefined) return
    const rate = (now - hold.decodingAt) / madeTokens
    const old = this.msPerToken.get(hold.decode) ?? rate
    this.msPerToken.set(hold.decode, old + (rate - old) * RATE_WEIGHT)
  }
}

function isInTime(ask: PlaceAsk): boolean {
  return ask.targetMs > 0
}

/** Those that can still be in time first, then by rank, then those that asked first. */
function moreUrgent(left: Waiting, right: Waiting): number {
  const late = Number(!isInTime(left.ask)) - Number(!isInTime(right.ask))
  if (left.ask.isPrefilled !== right.ask.isPrefilled) return left.ask.isPrefilled ? -1 : 1
  return late || left.ask.priority - right.ask.priority || left.since - right.since
}

function refused(reason: string, retryAfterMs: Millis): PlaceDecision {
  return { type: 'refused', reason, retryAfterMs }
}

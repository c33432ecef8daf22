import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, ReportedHold } from './allocatorTypes'
import type { EnginePace } from './enginePace'
import { addHold, removeHold, type HoldIndex } from './holdIndex'
import { lengthQuantile, type LengthForecast } from './lengthForecast'
import { LocalPrefills } from './localPrefills'
import { peakMemory, type GrowingAnswer } from './peakMemory'

/** A hold that its entry does not name is dropped once it is this old: before that its place may be on its way. */
const UNREPORTED_HOLD_MS = 1_000
/** What an answer made before it was first heard of counts as so much time. */
const MAX_FIRST_REPORT_MS = 1_000
/** Of a shorter time the way to the engine and the first event are too large a part. */
const MIN_FIRST_REPORT_MS = 800
/** An engine that reads a prompt itself still makes some tokens between its pieces; they count at least so much time. */
const MIN_DECODING_SHARE = 0.2
/** An answer whose entry still reports it where it was so long after it should have left has stayed there. */
const MIGRATION_TIMEOUT_MS = 3_000
const NO_HOLDS: ReadonlySet<Hold> = new Set()

/** Options of {@link HoldRegistry}. */
export interface HoldRegistryOptions {
  /** How sure a forecast of a length must be, from 0 to 1. */
  lengthCertainty: number
  pace: EnginePace
  forecast: LengthForecast
}

/** What a decode engine's answers hold and will come to hold, as forecast at one time. */
interface MemoryForecast {
  at: Millis
  growing: GrowingAnswer[]
  /** Tokens held at that time. */
  held: number
}

/** The places that are taken, and what they hold and will come to hold. */
export class HoldRegistry {
  private readonly holds = new Map<string, Hold>()
  private readonly byDecode: HoldIndex = new Map()
  private readonly byPrefill: HoldIndex = new Map()
  /** Forecasts are worked out once for all requests that look for a place at one time. */
  private readonly forecasts = new Map<InstanceId, MemoryForecast>()
  private readonly asked = new WeakMap<PlaceAsk, { at: Millis; growing: GrowingAnswer }>()

  /** What decode engines read themselves. */
  readonly localPrefills = new LocalPrefills()
  /** When each prefill engine last ended a prompt. */
  private readonly prefillEndedAt = new Map<InstanceId, Millis>()

  constructor(private readonly options: HoldRegistryOptions) {}

  get size(): number {
    return this.holds.size
  }

  get(request: string): Hold | undefined {
    return this.holds.get(request)
  }

  add(hold: Hold): void {
    this.remove(hold.ask.request)
    this.holds.set(hold.ask.request, hold)
    addHold(this.byDecode, hold.decode, hold)
    if (hold.prefill !== undefined) addHold(this.byPrefill, hold.prefill, hold)
    else if (!hold.ask.isPrefilled && hold.decodingAt !== undefined && hold.readTokens !== 0)
      this.localPrefills.extend(hold.decode, hold.decodingAt)
    this.forecasts.delete(hold.decode)
  }

  remove(request: string): void {
    const hold = this.holds.get(request)
    if (hold === undefined) return
    this.holds.delete(request)
    removeHold(this.byDecode, hold.decode, hold)
    if (hold.prefill !== undefined) removeHold(this.byPrefill, hold.prefill, hold)
    this.forecasts.delete(hold.decode)
  }

  /** Notes that a request's prompt has been read, or when its decode engine will have read it. */
  recordDecoding(hold: Hold, at: Millis, isLocal: boolean): void {
    hold.decodingAt = at
    if (isLocal) this.localPrefills.extend(hold.decode, at)
    this.forecasts.delete(hold.decode)
  }

  /**
   * Takes what an entry says it holds: adopts what is not known here, drops what it no longer names.
   * @returns decode engines that have made tokens since the last report.
   */
  applyReport(entry: string, reported: ReportedHold[], now: Millis): InstanceId[] {
    const named = new Set(reported.map((one) => one.ask.request))
    this.removeWhere(
      ({ ask, placedAt }) =>
        ask.entry === entry && !named.has(ask.request) && now - placedAt > UNREPORTED_HOLD_MS,
    )
    return reported.filter((one) => this.applyReportedHold(one, now)).map(({ decode }) => decode)
  }

  /** Drops what an entry held that is gone. */
  removeEntry(entry: string): void {
    this.removeWhere(({ ask }) => ask.entry === entry)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.prefillEndedAt.keys()) if (!ids.has(id)) this.prefillEndedAt.delete(id)
    this.localPrefills.keepOnly(ids)
  }

  countAt(decode: InstanceId): number {
    return this.holdsAt(decode).size
  }

  /** How long an engine is forecast to be busy with what it has, in milliseconds. */
  freeInMs(id: InstanceId, now: Millis): Millis {
    const perToken = this.options.pace.msPerToken(id, now)
    const { growing } = this.memoryForecast(id, now)
    const decodingMs = growing.reduce((longest, { remaining }) => Math.max(longest, remaining * perToken), 0)
    return Math.max(decodingMs, this.prefillWaitMs(id, now))
  }

  /**
   * The most memory, in tokens, that an engine comes to hold with one more request; Infinity where it is known to be
   * more than `limit`.
   */
  peakWith(ask: PlaceAsk, decode: InstanceId, limit: number, now: Millis): number {
    const { growing, held } = this.memoryForecast(decode, now)
    const added = this.askForecast(ask, now)
    if (held + added.held > limit) return Infinity
    return peakMemory([...growing, added])
  }

  /** How long a prompt waits at a prefill engine until it is its turn, in milliseconds. */
  prefillWaitMs(prefill: InstanceId, now: Millis): Millis {
    const { pace } = this.options
    const msOf = ({ ask, readTokens }: Hold) => pace.prefillMsAt(prefill, readTokens ?? ask.promptTokens, now)
    return this.prefillingAt(prefill).reduce((sum, hold) => sum + msOf(hold), 0)
  }

  /**
   * How many times longer than it should the prompt that a prefill engine reads now has taken already; 0 where it
   * reads none. What is under way and late is the earliest sign of an engine that has turned slow.
   */
  overdueFactor(prefill: InstanceId, now: Millis): number {
    const { pace } = this.options
    const first = this.prefillingAt(prefill).sort((left, right) => left.placedAt - right.placedAt)[0]
    // What another one placed may have waited behind what this one does not know.
    if (first === undefined || first.isAdopted === true) return 0
    const since = Math.max(first.placedAt, this.prefillEndedAt.get(prefill) ?? -Infinity)
    return (now - since) / (pace.prefillMs(first.ask.promptTokens) + pace.prefillLatencyMs())
  }

  /**
   * Notes that a prompt's step at its prefill engine has ended, and learns the engine's pace from it.
   * @param tookMs from the sending of the prompt.
   * @param isGivenUp whether it was not read in that time.
   */
  recordPrefillEnd(hold: Hold, tookMs: Millis, isGivenUp: boolean, now: Millis): void {
    const { prefill, isAdopted, ask } = hold
    if (prefill === undefined) return
    const busyMs = this.prefillTimeMs(hold, tookMs, now)
    this.prefillEndedAt.set(prefill, now)
    // Another engine may have read it before this one, or this one itself: what it kept is not read again.
    if (isAdopted === true || ask.except.length > 0) return
    const isAlone = hold.isReadAlone === true
    const read = { promptTokens: ask.promptTokens, readTokens: hold.readTokens, isAlone, isGivenUp }
    this.options.pace.learnPrefill(prefill, { ...read, tookMs: busyMs }, now)
  }

  /** How long a prefill engine was busy with a prompt at most: since its sending, or since the one before it ended. */
  prefillTimeMs({ prefill, isReadAlone }: Hold, tookMs: Millis, now: Millis): Millis {
    const freeForMs = now - (this.prefillEndedAt.get(prefill ?? '') ?? -Infinity)
    return isReadAlone === true ? tookMs : Math.min(tookMs, freeForMs)
  }

  /** How many tokens an answer is forecast to have, as surely as forecasts must be. */
  forecastLength(ask: PlaceAsk): number {
    const { forecast, lengthCertainty } = this.options
    const prior = forecast.predict(ask.className, ask.hintTokens, ask.mostTokens)
    return lengthQuantile(prior, 0, ask.mostTokens, lengthCertainty)
  }

  /** The memory that a request will hold, over the tokens that it makes meanwhile: tokens times tokens. */
  forecastTokenSteps(ask: PlaceAsk): number {
    const { forecast } = this.options
    const prior = forecast.predict(ask.className, ask.hintTokens, ask.mostTokens)
    const length = Math.min(ask.mostTokens, Math.exp(prior.mu + prior.sigma ** 2 / 2))
    return (ask.promptTokens + length / 2) * length
  }

  /** Learns from a whole answer. */
  learnAnswer(hold: Hold, madeTokens: number, now: Millis): void {
    this.options.forecast.learn(hold.ask.className, hold.ask.hintTokens, madeTokens)
    if (hold.made !== undefined) return this.learnProgress(hold, madeTokens, now - hold.made.at, now)
    if (hold.decodingAt !== undefined) this.learnProgress(hold, madeTokens, now - hold.decodingAt, now)
  }

  /** Takes what is said of one request; says whether tokens have been made since the last time. */
  private applyReportedHold(reported: ReportedHold, now: Millis): boolean {
    const { ask, prefill, decode, ageMs, decodingForMs, madeTokens } = reported
    const decodingAt = decodingForMs === undefined ? undefined : now - decodingForMs
    if (!this.holds.has(ask.request))
      this.add({ ask, prefill, decode, placedAt: now - ageMs, decodingAt, isAdopted: true })
    if (madeTokens === undefined || decodingForMs === undefined) return false
    const hold = this.holds.get(ask.request)!
    const position = this.syncEngine(hold, decode, now)
    if (position === 'leaving') return false
    const hasMade = position === 'there' && madeTokens > (hold.made?.tokens ?? 0)
    if (position === 'there') this.learnReport(hold, madeTokens, decodingForMs, now)
    hold.made = { tokens: madeTokens, at: now, forMs: decodingForMs }
    this.forecasts.delete(hold.decode)
    return hasMade
  }

  /** The entry's own clock says what passed between its reports, however late they come. */
  private learnReport(hold: Hold, madeTokens: number, decodingForMs: Millis, now: Millis): void {
    if (hold.made === undefined) return this.learnFirstReport(hold, madeTokens, decodingForMs, now)
    this.learnProgress(hold, madeTokens, decodingForMs - hold.made.forMs, now)
  }

  /**
   * Follows an answer to the engine where its entry reports it. Only of one that was `there` before does its progress
   * say something of that engine: what one that has `arrived` made since the last report was made at two.
   */
  private syncEngine(hold: Hold, decode: InstanceId, now: Millis): 'there' | 'arrived' | 'leaving' {
    const { leaves } = hold
    if (hold.decode === decode && leaves === undefined) return 'there'
    if (hold.decode !== decode) {
      if (leaves?.from === decode && now - leaves.since < MIGRATION_TIMEOUT_MS) return 'leaving'
      this.reassign(hold, decode)
    }
    hold.leaves = undefined
    return 'arrived'
  }

  /** Notes that an answer is to go on at another engine: what it holds counts there from now on. */
  migrate(hold: Hold, to: InstanceId, now: Millis): void {
    hold.leaves = { from: hold.decode, since: now }
    this.reassign(hold, to)
  }

  private reassign(hold: Hold, decode: InstanceId): void {
    removeHold(this.byDecode, hold.decode, hold)
    this.forecasts.delete(hold.decode)
    hold.decode = decode
    addHold(this.byDecode, decode, hold)
    this.forecasts.delete(decode)
  }

  /** The running answers of an entry's requests. */
  runningOf(entry: string): Hold[] {
    return [...this.holds.values()].filter(({ ask, made }) => ask.entry === entry && made !== undefined)
  }

  /** How many tokens an answer is forecast to make yet. */
  remainingTokens(hold: Hold, now: Millis): number {
    return this.forecastHold(hold, now).remaining
  }

  /** The most memory, in tokens, that an engine comes to hold with an answer that runs elsewhere. */
  peakWithMigrated(hold: Hold, decode: InstanceId, now: Millis): number {
    return peakMemory([...this.memoryForecast(decode, now).growing, this.forecastHold(hold, now)])
  }

  /** Learns from what an answer has made since it was last heard of. */
  private learnProgress(hold: Hold, madeTokens: number, passedMs: Millis, now: Millis): void {
    const tokens = Math.max(0, madeTokens - (hold.made?.tokens ?? 0))
    const decodedMs = passedMs - this.localPrefillMsWithin(hold.decode, now - passedMs, now)
    this.options.pace.learnDecoding(
      hold.decode,
      tokens,
      Math.max(decodedMs, passedMs * MIN_DECODING_SHARE),
      now,
    )
  }

  /** Of an answer that was not heard of before, its whole course counts as much as one report. */
  private learnFirstReport(hold: Hold, madeTokens: number, decodingForMs: Millis, now: Millis): void {
    if (decodingForMs < MIN_FIRST_REPORT_MS) return
    const share = Math.min(1, MAX_FIRST_REPORT_MS / decodingForMs)
    this.options.pace.learnDecoding(hold.decode, madeTokens * share, decodingForMs * share, now)
  }

  /** How long a decode engine was busy reading prompts itself, in a span of time. */
  private localPrefillMsWithin(decode: InstanceId, from: Millis, until: Millis): Millis {
    let sum = 0
    for (const { prefill, ask, decodingAt, placedAt } of this.holdsAt(decode)) {
      if (prefill !== undefined || ask.isPrefilled || decodingAt === undefined) continue
      sum += Math.max(0, Math.min(decodingAt, until) - Math.max(placedAt, from))
    }
    return Math.min(sum, until - from)
  }

  /** Whether a prompt is being read at a prefill engine. */
  isPrefilling(prefill: InstanceId): boolean {
    return this.prefillingAt(prefill).length > 0
  }

  private prefillingAt(prefill: InstanceId): Hold[] {
    return [...(this.byPrefill.get(prefill) ?? NO_HOLDS)].filter((hold) => hold.decodingAt === undefined)
  }

  /** The places at a decode engine. */
  holdsAt(decode: InstanceId): ReadonlySet<Hold> {
    return this.byDecode.get(decode) ?? NO_HOLDS
  }

  private removeWhere(isRemoved: (hold: Hold) => boolean): void {
    for (const [request, hold] of this.holds) if (isRemoved(hold)) this.remove(request)
  }

  private memoryForecast(decode: InstanceId, now: Millis): MemoryForecast {
    const known = this.forecasts.get(decode)
    if (known !== undefined && known.at === now) return known
    const growing = [...this.holdsAt(decode)].map((hold) => this.forecastHold(hold, now))
    const held = growing.reduce((sum, one) => sum + one.held, 0)
    const forecast = { at: now, growing, held }
    this.forecasts.set(decode, forecast)
    return forecast
  }

  private askForecast(ask: PlaceAsk, now: Millis): GrowingAnswer {
    const known = this.asked.get(ask)
    if (known !== undefined && known.at === now) return known.growing
    const growing = this.forecastAsk(ask, 0)
    this.asked.set(ask, { at: now, growing })
    return growing
  }

  private forecastHold(hold: Hold, now: Millis): GrowingAnswer {
    return this.forecastAsk(hold.ask, this.estimateMade(hold, now))
  }

  /** Tokens that an answer has made: as its entry said last, and since then by its engine's pace. */
  private estimateMade(hold: Hold, now: Millis): number {
    const rate = this.options.pace.msPerToken(hold.decode, now)
    if (hold.made !== undefined) return hold.made.tokens + (now - hold.made.at) / rate
    return hold.decodingAt === undefined ? 0 : Math.max(0, now - hold.decodingAt) / rate
  }

  private forecastAsk(ask: PlaceAsk, madeEstimate: number): GrowingAnswer {
    const { forecast, lengthCertainty } = this.options
    const made = Math.min(madeEstimate, ask.mostTokens)
    const prior = forecast.predict(ask.className, ask.hintTokens, ask.mostTokens)
    const length = lengthQuantile(prior, made, ask.mostTokens, lengthCertainty)
    return { held: ask.promptTokens + made, remaining: Math.max(0, length - made) }
  }
}

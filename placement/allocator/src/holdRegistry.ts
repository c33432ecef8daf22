import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, ReportedHold } from './allocatorTypes'
import type { EnginePace } from './enginePace'
import { addHold, removeHold, type HoldIndex } from './holdIndex'
import { lengthQuantile, type LengthForecast } from './lengthForecast'
import { LocalPrefills } from './localPrefills'
import { peakMemory, type GrowingAnswer } from './peakMemory'

/** A hold that its entry does not report is removed at this age; before that its placement may be in transit. */
const UNREPORTED_HOLD_MS = 1_000
/** The first report of an answer counts as this much decoding time at most. */
const MAX_FIRST_REPORT_MS = 1_000
/** First reports of less decoding time are ignored: network delay and the first event would distort the pace. */
const MIN_FIRST_REPORT_MS = 800
/** Least share of decoding time: during a local prefill an engine still generates some tokens between chunks. */
const MIN_DECODING_SHARE = 0.2
/** A migration has failed if the entry still reports the answer at its old engine after this time. */
const MIGRATION_TIMEOUT_MS = 3_000
const NO_HOLDS: ReadonlySet<Hold> = new Set()

/** Options of {@link HoldRegistry}. */
export interface HoldRegistryOptions {
  /** Probability, from 0 to 1, with which an answer must stay within its forecast length. */
  lengthCertainty: number
  pace: EnginePace
  forecast: LengthForecast
}

/** Memory that a decode engine's answers hold and will need, as forecast at one time. */
interface MemoryForecast {
  at: Millis
  growing: GrowingAnswer[]
  /** Tokens held at that time. */
  held: number
}

/** Holds of all placed requests, with the memory that they use and will need. */
export class HoldRegistry {
  private readonly holds = new Map<string, Hold>()
  private readonly byDecode: HoldIndex = new Map()
  private readonly byPrefill: HoldIndex = new Map()
  /** Forecasts are computed once for all requests that are placed at one time. */
  private readonly forecasts = new Map<InstanceId, MemoryForecast>()
  private readonly asked = new WeakMap<PlaceAsk, { at: Millis; growing: GrowingAnswer }>()

  /** Prefills that decode engines run themselves. */
  readonly localPrefills = new LocalPrefills()
  /** When each prefill engine last finished a prompt. */
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

  /** Records when decoding begins: now, or when the decode engine will have prefilled the prompt. */
  recordDecoding(hold: Hold, at: Millis, isLocal: boolean): void {
    hold.decodingAt = at
    if (isLocal) this.localPrefills.extend(hold.decode, at)
    this.forecasts.delete(hold.decode)
  }

  /**
   * Applies an entry's report: adopts holds that are unknown here, removes those that it no longer names.
   * @returns decode engines that have generated tokens since the last report.
   */
  applyReport(entry: string, reported: ReportedHold[], now: Millis): InstanceId[] {
    const named = new Set(reported.map((one) => one.ask.request))
    this.removeWhere(
      ({ ask, placedAt }) =>
        ask.entry === entry && !named.has(ask.request) && now - placedAt > UNREPORTED_HOLD_MS,
    )
    return reported.filter((one) => this.applyReportedHold(one, now)).map(({ decode }) => decode)
  }

  /** Removes the holds of an entry that is gone. */
  removeEntry(entry: string): void {
    this.removeWhere(({ ask }) => ask.entry === entry)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.prefillEndedAt.keys()) if (!ids.has(id)) this.prefillEndedAt.delete(id)
    this.localPrefills.sweep(ids)
  }

  countAt(decode: InstanceId): number {
    return this.holdsAt(decode).size
  }

  /** Returns how long an engine is forecast to be busy with its current work, in milliseconds. */
  freeInMs(id: InstanceId, now: Millis): Millis {
    const perToken = this.options.pace.msPerToken(id, now)
    const { growing } = this.memoryForecast(id, now)
    const decodingMs = growing.reduce((longest, { remaining }) => Math.max(longest, remaining * perToken), 0)
    return Math.max(decodingMs, this.prefillWaitMs(id, now))
  }

  /** Returns an engine's forecast peak with one more request, in tokens; Infinity if it is known to exceed `limit`. */
  peakWith(ask: PlaceAsk, decode: InstanceId, limit: number, now: Millis): number {
    const { growing, held } = this.memoryForecast(decode, now)
    const added = this.askForecast(ask, now)
    if (held + added.held > limit) return Infinity
    return peakMemory([...growing, added])
  }

  /** Returns how long a new prompt would wait in a prefill engine's queue, in milliseconds. */
  prefillWaitMs(prefill: InstanceId, now: Millis): Millis {
    const { pace } = this.options
    const msOf = ({ ask, readTokens }: Hold) => pace.prefillMsAt(prefill, readTokens ?? ask.promptTokens, now)
    return this.prefillingAt(prefill).reduce((sum, hold) => sum + msOf(hold), 0)
  }

  /**
   * Returns the time spent on a prefill engine's current prompt as a multiple of the expected time; 0 if it has none.
   * A late prompt in progress is the earliest sign of a slow engine.
   */
  overdueFactor(prefill: InstanceId, now: Millis): number {
    const { pace } = this.options
    const first = this.prefillingAt(prefill).sort((left, right) => left.placedAt - right.placedAt)[0]
    // An adopted prompt may have waited behind prompts that are unknown here.
    if (first === undefined || first.isAdopted === true) return 0
    const since = Math.max(first.placedAt, this.prefillEndedAt.get(prefill) ?? -Infinity)
    return (now - since) / (pace.prefillMs(first.ask.promptTokens) + pace.prefillLatencyMs())
  }

  /**
   * Records the end of a prefill step, and learns the engine's pace from it.
   * @param tookMs time since the prompt was sent, in milliseconds.
   * @param isGivenUp whether the step was abandoned before it finished.
   */
  recordPrefillEnd(hold: Hold, tookMs: Millis, isGivenUp: boolean, now: Millis): void {
    const { prefill, isAdopted, ask } = hold
    if (prefill === undefined) return
    const busyMs = this.prefillTimeMs(hold, tookMs, now)
    this.prefillEndedAt.set(prefill, now)
    // A prompt that was sent before may be cached: its duration does not show the pace.
    if (isAdopted === true || ask.except.length > 0) return
    const isAlone = hold.isReadAlone === true
    const read = { promptTokens: ask.promptTokens, readTokens: hold.readTokens, isAlone, isGivenUp }
    this.options.pace.learnPrefill(prefill, { ...read, tookMs: busyMs }, now)
  }

  /** Returns the longest time an engine can have been busy with a prompt, in ms: since its sending or the last end. */
  prefillTimeMs({ prefill, isReadAlone }: Hold, tookMs: Millis, now: Millis): Millis {
    const freeForMs = now - (this.prefillEndedAt.get(prefill ?? '') ?? -Infinity)
    return isReadAlone === true ? tookMs : Math.min(tookMs, freeForMs)
  }

  /** Returns the forecast length of an answer, in tokens, at the configured certainty. */
  forecastLength(ask: PlaceAsk): number {
    const { forecast, lengthCertainty } = this.options
    const prior = forecast.predict(ask.className, ask.hintTokens, ask.mostTokens)
    return lengthQuantile(prior, 0, ask.mostTokens, lengthCertainty)
  }

  /** Returns the memory that a request will hold, summed over its decode steps: tokens times steps. */
  forecastTokenSteps(ask: PlaceAsk): number {
    const { forecast } = this.options
    const prior = forecast.predict(ask.className, ask.hintTokens, ask.mostTokens)
    const length = Math.min(ask.mostTokens, Math.exp(prior.mu + prior.sigma ** 2 / 2))
    return (ask.promptTokens + length / 2) * length
  }

  /** Learns from a complete answer. */
  learnAnswer(hold: Hold, madeTokens: number, now: Millis): void {
    this.options.forecast.learn(hold.ask.className, hold.ask.hintTokens, madeTokens)
    if (hold.made !== undefined) return this.learnProgress(hold, madeTokens, now - hold.made.at, now)
    if (hold.decodingAt !== undefined) this.learnProgress(hold, madeTokens, now - hold.decodingAt, now)
  }

  /** Applies the report of one hold; returns whether tokens were generated since the last report. */
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

  /** Learns from the time between reports by the entry's own clock, which late delivery does not change. */
  private learnReport(hold: Hold, madeTokens: number, decodingForMs: Millis, now: Millis): void {
    if (hold.made === undefined) return this.learnFirstReport(hold, madeTokens, decodingForMs, now)
    this.learnProgress(hold, madeTokens, decodingForMs - hold.made.forMs, now)
  }

  /**
   * Assigns a hold to the engine where its entry reports the answer. Progress shows the engine's pace only if the
   * answer was `there` before: once `arrived`, the tokens since the last report come from two engines.
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

  /** Records that an answer migrates to another engine, where its memory counts from now on. */
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

  /** Returns the holds of an entry whose answers are running. */
  runningOf(entry: string): Hold[] {
    return [...this.holds.values()].filter(({ ask, made }) => ask.entry === entry && made !== undefined)
  }

  /** Returns how many more tokens an answer is forecast to generate. */
  remainingTokens(hold: Hold, now: Millis): number {
    return this.forecastHold(hold, now).remaining
  }

  /** Returns the forecast peak memory of an engine, in tokens, if a running answer migrates there. */
  peakWithMigrated(hold: Hold, decode: InstanceId, now: Millis): number {
    return peakMemory([...this.memoryForecast(decode, now).growing, this.forecastHold(hold, now)])
  }

  /** Learns the engine's pace from the tokens generated since the last report. */
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

  /** Learns from the first report of an answer, which counts as much as any later report. */
  private learnFirstReport(hold: Hold, madeTokens: number, decodingForMs: Millis, now: Millis): void {
    if (decodingForMs < MIN_FIRST_REPORT_MS) return
    const share = Math.min(1, MAX_FIRST_REPORT_MS / decodingForMs)
    this.options.pace.learnDecoding(hold.decode, madeTokens * share, decodingForMs * share, now)
  }

  /** Returns how long a decode engine was busy with local prefills in a time span, in milliseconds. */
  private localPrefillMsWithin(decode: InstanceId, from: Millis, until: Millis): Millis {
    let sum = 0
    for (const { prefill, ask, decodingAt, placedAt } of this.holdsAt(decode)) {
      if (prefill !== undefined || ask.isPrefilled || decodingAt === undefined) continue
      sum += Math.max(0, Math.min(decodingAt, until) - Math.max(placedAt, from))
    }
    return Math.min(sum, until - from)
  }

  /** Whether a prefill engine has a prompt that is not finished. */
  isPrefilling(prefill: InstanceId): boolean {
    return this.prefillingAt(prefill).length > 0
  }

  private prefillingAt(prefill: InstanceId): Hold[] {
    return [...(this.byPrefill.get(prefill) ?? NO_HOLDS)].filter((hold) => hold.decodingAt === undefined)
  }

  /** Returns the holds on a decode engine. */
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

  /** Estimates the tokens of an answer: those last reported, and since then by its engine's pace. */
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

import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, ReportedHold } from './allocatorTypes'
import type { EnginePace } from './enginePace'
import { lengthQuantile, type LengthForecast } from './lengthForecast'
import { peakMemory, type Growing } from './peakMemory'

/** A hold that its entry does not name is dropped once it is this old: before that its place may be on its way. */
const UNNAMED_HOLD_MS = 1_000
const NO_HOLDS: ReadonlySet<Hold> = new Set()

/** Options of {@link HoldBook}. */
export interface HoldBookOptions {
  /** How sure a forecast of a length must be, from 0 to 1. */
  lengthCertainty: number
  pace: EnginePace
  forecast: LengthForecast
}

/** What a decode engine's answers hold and will come to hold, as forecast at one time. */
interface Outlook {
  at: Millis
  growing: Growing[]
  /** Tokens held at that time. */
  held: number
}

/** The places that are taken, and what they hold and will come to hold. */
export class HoldBook {
  private readonly holds = new Map<string, Hold>()
  private readonly byDecode = new Map<InstanceId, Set<Hold>>()
  private readonly byPrefill = new Map<InstanceId, Set<Hold>>()
  /** Forecasts are worked out once for all requests that look for a place at one time. */
  private readonly outlooks = new Map<InstanceId, Outlook>()
  private readonly asked = new WeakMap<PlaceAsk, { at: Millis; growing: Growing }>()

  constructor(private readonly options: HoldBookOptions) {}

  get size(): number {
    return this.holds.size
  }

  get(request: string): Hold | undefined {
    return this.holds.get(request)
  }

  add(hold: Hold): void {
    this.remove(hold.ask.request)
    this.holds.set(hold.ask.request, hold)
    addTo(this.byDecode, hold.decode, hold)
    if (hold.prefill !== undefined) addTo(this.byPrefill, hold.prefill, hold)
    this.outlooks.delete(hold.decode)
  }

  remove(request: string): void {
    const hold = this.holds.get(request)
    if (hold === undefined) return
    this.holds.delete(request)
    removeFrom(this.byDecode, hold.decode, hold)
    if (hold.prefill !== undefined) removeFrom(this.byPrefill, hold.prefill, hold)
    this.outlooks.delete(hold.decode)
  }

  /** Notes that a request's prompt has been read. */
  noteDecoding(hold: Hold, now: Millis): void {
    hold.decodingAt = now
    this.outlooks.delete(hold.decode)
  }

  /**
   * Takes what an entry says it holds: adopts what is not known here, drops what it no longer names.
   * @returns decode engines that have made tokens since the last report.
   */
  adopt(entry: string, reported: ReportedHold[], now: Millis): InstanceId[] {
    const named = new Set(reported.map((one) => one.ask.request))
    this.removeWhere(
      ({ ask, placedAt }) =>
        ask.entry === entry && !named.has(ask.request) && now - placedAt > UNNAMED_HOLD_MS,
    )
    return reported.filter((one) => this.take(one, now)).map(({ decode }) => decode)
  }

  /** Drops what an entry held that is gone. */
  dropEntry(entry: string): void {
    this.removeWhere(({ ask }) => ask.entry === entry)
  }

  countAt(decode: InstanceId): number {
    return this.holdsAt(decode).size
  }

  /** How long an engine is forecast to be busy with what it has, in milliseconds. */
  freeInMs(id: InstanceId, now: Millis): Millis {
    const perToken = this.options.pace.decodingMs(id)
    const { growing } = this.outlookOf(id, now)
    const decodingMs = growing.reduce((longest, { toCome }) => Math.max(longest, toCome * perToken), 0)
    return Math.max(decodingMs, this.prefillWait(id))
  }

  /**
   * The most memory, in tokens, that an engine comes to hold with one more request; Infinity where it is known to be
   * more than `limit`.
   */
  peakWith(ask: PlaceAsk, decode: InstanceId, limit: number, now: Millis): number {
    const { growing, held } = this.outlookOf(decode, now)
    const added = this.growingOf(ask, now)
    if (held + added.held > limit) return Infinity
    return peakMemory([...growing, added])
  }

  /** How long a prompt waits at a prefill engine until it is its turn, in milliseconds. */
  prefillWait(prefill: InstanceId): Millis {
    let sum = 0
    for (const hold of this.byPrefill.get(prefill) ?? NO_HOLDS)
      if (hold.decodingAt === undefined) sum += this.options.pace.readingMs(hold.ask.promptTokens)
    return sum
  }

  /** How long a decode engine is still busy with prompts that it reads itself, in milliseconds. */
  ownReadingWait(decode: InstanceId, now: Millis): Millis {
    let until = now
    for (const hold of this.holdsAt(decode))
      if (hold.prefill === undefined) until = Math.max(until, hold.decodingAt ?? now)
    return until - now
  }

  /** The memory that a request will hold, over the tokens that it makes meanwhile: tokens times tokens. */
  heldTokens(ask: PlaceAsk): number {
    const { forecast } = this.options
    const prior = forecast.expect(ask.className, ask.hintTokens, ask.mostTokens)
    const length = Math.min(ask.mostTokens, Math.exp(prior.mu + prior.sigma ** 2 / 2))
    return (ask.promptTokens + length / 2) * length
  }

  /** Learns from a whole answer. */
  learnAnswer(hold: Hold, madeTokens: number, now: Millis): void {
    const { forecast, pace } = this.options
    forecast.learn(hold.ask.className, hold.ask.hintTokens, madeTokens)
    if (hold.decodingAt !== undefined) pace.learnDecoding(hold.decode, madeTokens, now - hold.decodingAt)
  }

  /** Takes what is said of one request; says whether tokens have been made since the last time. */
  private take(reported: ReportedHold, now: Millis): boolean {
    const { ask, prefill, decode, ageMs, decodingForMs, madeTokens } = reported
    const decodingAt = decodingForMs === undefined ? undefined : now - decodingForMs
    if (!this.holds.has(ask.request))
      this.add({ ask, prefill, decode, placedAt: now - ageMs, decodingAt, isAdopted: true })
    if (madeTokens === undefined || decodingForMs === undefined) return false
    const hold = this.holds.get(ask.request)!
    const hasMade = madeTokens > (hold.made?.tokens ?? 0)
    hold.made = { tokens: madeTokens, at: now }
    this.outlooks.delete(hold.decode)
    this.options.pace.learnDecoding(hold.decode, madeTokens, decodingForMs)
    return hasMade
  }

  private holdsAt(decode: InstanceId): ReadonlySet<Hold> {
    return this.byDecode.get(decode) ?? NO_HOLDS
  }

  private removeWhere(isRemoved: (hold: Hold) => boolean): void {
    for (const [request, hold] of this.holds) if (isRemoved(hold)) this.remove(request)
  }

  private outlookOf(decode: InstanceId, now: Millis): Outlook {
    const known = this.outlooks.get(decode)
    if (known !== undefined && known.at === now) return known
    const growing = [...this.holdsAt(decode)].map((hold) => this.forecastHold(hold, now))
    const held = growing.reduce((sum, one) => sum + one.held, 0)
    const outlook = { at: now, growing, held }
    this.outlooks.set(decode, outlook)
    return outlook
  }

  private growingOf(ask: PlaceAsk, now: Millis): Growing {
    const known = this.asked.get(ask)
    if (known !== undefined && known.at === now) return known.growing
    const growing = this.forecastAsk(ask, 0)
    this.asked.set(ask, { at: now, growing })
    return growing
  }

  private forecastHold(hold: Hold, now: Millis): Growing {
    return this.forecastAsk(hold.ask, this.madeBy(hold, now))
  }

  /** Tokens that an answer has made: as its entry said last, and since then by its engine's pace. */
  private madeBy(hold: Hold, now: Millis): number {
    const rate = this.options.pace.decodingMs(hold.decode)
    if (hold.made !== undefined) return hold.made.tokens + (now - hold.made.at) / rate
    return hold.decodingAt === undefined ? 0 : Math.max(0, now - hold.decodingAt) / rate
  }

  private forecastAsk(ask: PlaceAsk, madeUnbound: number): Growing {
    const { forecast, lengthCertainty } = this.options
    const made = Math.min(madeUnbound, ask.mostTokens)
    const prior = forecast.expect(ask.className, ask.hintTokens, ask.mostTokens)
    const length = lengthQuantile(prior, made, ask.mostTokens, lengthCertainty)
    return { held: ask.promptTokens + made, toCome: Math.max(0, length - made) }
  }
}

function addTo(index: Map<InstanceId, Set<Hold>>, id: InstanceId, hold: Hold): void {
  const holds = index.get(id) ?? new Set()
  index.set(id, holds)
  holds.add(hold)
}

function removeFrom(index: Map<InstanceId, Set<Hold>>, id: InstanceId, hold: Hold): void {
  const holds = index.get(id)
  holds?.delete(hold)
  if (holds?.size === 0) index.delete(id)
}

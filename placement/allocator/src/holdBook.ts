import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, ReportedHold } from './allocatorTypes'
import { LengthForecast, lengthQuantile } from './lengthForecast'
import { peakMemory, type Growing } from './peakMemory'

const FIRST_MS_PER_TOKEN = 0.8
const FIRST_PROMPT_TOKENS_PER_MS = 40
const RATE_WEIGHT = 0.1
const READING_WEIGHT = 0.1
/** A hold that its entry does not name any more is dropped once it is this old. */
const UNNAMED_HOLD_MS = 1_000

/** The places that are taken, what they hold and will come to hold, and the pace that engines have shown. */
export class HoldBook {
  private readonly holds = new Map<string, Hold>()
  private readonly forecast = new LengthForecast()
  private readonly msPerToken = new Map<InstanceId, number>()
  private promptTokensPerMs = FIRST_PROMPT_TOKENS_PER_MS

  /** @param lengthCertainty how sure a forecast of a length must be, from 0 to 1. */
  constructor(private readonly lengthCertainty: number) {}

  get size(): number {
    return this.holds.size
  }

  get(request: string): Hold | undefined {
    return this.holds.get(request)
  }

  add(hold: Hold): void {
    this.holds.set(hold.ask.request, hold)
  }

  remove(request: string): void {
    this.holds.delete(request)
  }

  /** Takes what an entry says it holds: adopts what is not known here, drops what it no longer names. */
  adopt(entry: string, reported: ReportedHold[], now: Millis): void {
    const named = new Set(reported.map((one) => one.ask.request))
    this.removeWhere(
      ({ ask, placedAt }) =>
        ask.entry === entry && !named.has(ask.request) && now - placedAt > UNNAMED_HOLD_MS,
    )
    for (const { ask, prefill, decode, ageMs, decodingForMs } of reported) {
      if (this.holds.has(ask.request)) continue
      const decodingAt = decodingForMs === undefined ? undefined : now - decodingForMs
      this.add({ ask, prefill, decode, placedAt: now - ageMs, decodingAt })
    }
  }

  /** Drops what an entry held that is gone. */
  dropEntry(entry: string): void {
    this.removeWhere(({ ask }) => ask.entry === entry)
  }

  countAt(decode: InstanceId): number {
    return this.holdsAt(decode).length
  }

  /** Requests that run or are read at an engine. */
  usesOf(id: InstanceId): number {
    return [...this.holds.values()].filter((hold) => hold.decode === id || hold.prefill === id).length
  }

  /** The most memory, in tokens, that an engine comes to hold with one more request. */
  peakWith(ask: PlaceAsk, decode: InstanceId, now: Millis): number {
    const growing = this.holdsAt(decode).map((hold) => this.forecastHold(hold, now))
    growing.push(this.forecastAsk(ask, 0))
    return peakMemory(growing)
  }

  /** How long a prefill engine takes to read a prompt, in milliseconds. */
  readingMs(ask: PlaceAsk): Millis {
    return ask.promptTokens / this.promptTokensPerMs
  }

  /** How long a prompt waits at a prefill engine until it is its turn, in milliseconds. */
  prefillWait(prefill: InstanceId): Millis {
    const ahead = [...this.holds.values()].filter(
      (hold) => hold.prefill === prefill && hold.decodingAt === undefined,
    )
    return ahead.reduce((sum, hold) => sum + this.readingMs(hold.ask), 0)
  }

  /** The memory that a request will hold, over the time that it holds it: tokens times milliseconds. */
  tokenMs(ask: PlaceAsk): number {
    const prior = this.forecast.expect(ask.className, ask.hintTokens, ask.mostTokens)
    const length = Math.min(ask.mostTokens, Math.exp(prior.mu + prior.sigma ** 2 / 2))
    return (ask.promptTokens + length / 2) * length * this.meanMsPerToken()
  }

  learnReading(promptTokens: number, tookMs: Millis): void {
    this.promptTokensPerMs += (promptTokens / tookMs - this.promptTokensPerMs) * READING_WEIGHT
  }

  learnAnswer(hold: Hold, madeTokens: number, now: Millis): void {
    this.forecast.learn(hold.ask.className, hold.ask.hintTokens, madeTokens)
    if (hold.decodingAt === undefined) return
    const rate = (now - hold.decodingAt) / madeTokens
    const old = this.msPerToken.get(hold.decode) ?? rate
    this.msPerToken.set(hold.decode, old + (rate - old) * RATE_WEIGHT)
  }

  private holdsAt(decode: InstanceId): Hold[] {
    return [...this.holds.values()].filter((hold) => hold.decode === decode)
  }

  private removeWhere(isRemoved: (hold: Hold) => boolean): void {
    for (const [request, hold] of this.holds) if (isRemoved(hold)) this.holds.delete(request)
  }

  private meanMsPerToken(): Millis {
    const rates = [...this.msPerToken.values()]
    if (rates.length === 0) return FIRST_MS_PER_TOKEN
    return rates.reduce((sum, rate) => sum + rate, 0) / rates.length
  }

  private forecastHold(hold: Hold, now: Millis): Growing {
    const rate = this.msPerToken.get(hold.decode) ?? FIRST_MS_PER_TOKEN
    const made = hold.decodingAt === undefined ? 0 : Math.max(0, now - hold.decodingAt) / rate
    return this.forecastAsk(hold.ask, made)
  }

  private forecastAsk(ask: PlaceAsk, madeUnbound: number): Growing {
    const made = Math.min(madeUnbound, ask.mostTokens)
    const prior = this.forecast.expect(ask.className, ask.hintTokens, ask.mostTokens)
    const length = lengthQuantile(prior, made, ask.mostTokens, this.lengthCertainty)
    return { held: ask.promptTokens + made, toCome: Math.max(0, length - made) }
  }
}

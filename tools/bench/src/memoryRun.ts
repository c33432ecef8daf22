import { Allocator, type AllocatorTuning, type PlaceAsk, type PlaceDecision } from '@forkstage/allocator'
import { createSeededRandom, type Random } from '@forkstage/clock'
import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import { EngineModel, type RunningAnswer } from './engineModel'
import { drawCall, MOST_EVENTS, SHAPES, TARGET_MS, worthOf, type Call, type CallShape } from './memoryCalls'

/** Options of the memory experiment. */
export interface MemoryExperimentOptions {
  /** How many of the engines read prompts, and how many decode. */
  prefill: number
  decode: number
  /** Requests a second outside the peaks, one series each. */
  rates: number[]
  seeds: number
  /** The name of the callers' and engines' shape. */
  shape: string
  /** Names of the variants to compare; all where empty. */
  variants: string[]
  /** The share of the engines that turn slow for a while, and how many times. */
  slow: { share: number; times: number }
}

/** One thing changed. */
export interface Variant {
  tuning?: Partial<AllocatorTuning>
  /** The share of the target within which a request without hope is refused. */
  promptShare?: number
  /** Whether nothing is told of answers until they end. */
  withoutReports?: boolean
  /** Whether answers stay where they run. */
  withoutMoves?: boolean
}

const SECONDS = 60
/** In each ten seconds, requests come at this multiple for the last four. */
const PEAK = 1.9
const PEAK_EVERY_MS = 10_000
const PEAK_FROM_MS = 6_000
const STEP_MS = 5
/** Engines are slow for ten seconds of each twenty, in turn. */
const SLOW_EVERY_MS = 20_000
const SLOW_FROM_MS = 10_000
const REPORT_EVERY_MS = 400
const ENTRY = 'e'
const LONGEST_PAUSE_MS = 300
const SERVICE = 'model'
const DEADLINE_MS = 14_000
const PROMPT_SHARE = 0.17
const PROMPT_REFUSAL_MS = TARGET_MS / 4
const RETURN_AFTER_MS = TARGET_MS * 0.3
const TRANSIT_MS = 12
const REFUSED_AGAIN_COST = 0.3
const HELD_COST = 0.1
/** What a thousand tokens read for nothing cost, in requests. */
const WASTE_COST = 0.16
const WINDOW_MS = 2_000

/** What one run of one variant gave. */
export interface RunFigures {
  worth: number
  worstWindows: number
  inAim: number
  /** How often the largest tenth is served, as a share of all. */
  largest: number
  refused: number
  wastedTokens: number
  fill: number
}

/** An answer that runs, as its entry knows it. */
interface RunningHere {
  ask: PlaceAsk
  decode: string
  placedAt: number
  decodingAt: number
  answer: RunningAnswer
}

/** One run of one variant: callers, engines and the allocator between them, without any network. */
export class MemoryRun {
  private readonly random: Random
  private readonly allocator: Allocator
  private readonly engines = new Map<string, EngineModel>()
  private readonly readers = new Map<string, { until: number; slowness: number }>()
  /** Answers that run, as their entry knows them. */
  private readonly running = new Map<string, RunningHere>()
  private readonly later: { at: number; act: () => void }[] = []
  private readonly calls: Call[] = []
  private now = 0
  private requests = 0
  private readonly shape: CallShape

  constructor(
    private readonly options: MemoryExperimentOptions,
    private readonly rate: number,
    private readonly variant: Variant,
    seed: number,
  ) {
    this.random = createSeededRandom(seed)
    this.shape = SHAPES[options.shape]!
    const names = (stage: Stage, count: number) =>
      Array.from({ length: count }, (_, index) => endpoint(`${stage}-${index}`, stage))
    const endpoints = [...names('prefill', options.prefill), ...names('decode', options.decode)]
    for (const one of endpoints) {
      if (one.stage === 'decode') this.engines.set(one.id, new EngineModel(this.shape.engine))
      else this.readers.set(one.id, { until: 0, slowness: 1 })
    }
    const engine = {
      slots: 64,
      kvTokens: this.shape.engine.kvTokens,
      kvBytesPerToken: 18_432,
      linkMbps: 700_000,
      tokensPerEvent: this.shape.tokensPerEvent,
      handleMs: 500,
      stageChangeMs: 6_000,
      canMove: true,
    }
    this.allocator = new Allocator({
      endpoints: () => endpoints,
      engine: () => engine,
      tuning: variant.tuning,
    })
  }

  play(): RunFigures {
    const lengthMs = SECONDS * 1_000
    for (this.now = 0; this.now < lengthMs + DEADLINE_MS; this.now += STEP_MS) {
      if (this.now < lengthMs) this.arrive()
      this.actDue()
      this.turnSlow()
      if (this.now % REPORT_EVERY_MS === 0) this.report()
      for (const engine of this.engines.values()) engine.advance(this.now, STEP_MS)
      if (this.now % 25 === 0) this.allocator.tick(this.now)
    }
    return this.figures(lengthMs)
  }

  /** The first engines of each half turn slow, and well again. */
  private turnSlow(): void {
    const { share, times } = this.options.slow
    const slowness = this.now % SLOW_EVERY_MS >= SLOW_FROM_MS ? times : 1
    for (const half of [this.engines, this.readers] as Map<string, { slowness: number }>[]) {
      const struck = [...half.values()].slice(0, Math.round(half.size * share))
      for (const engine of struck) engine.slowness = slowness
    }
  }

  /** Tells how answers go on, and lets them go on elsewhere as the allocator wants. */
  private report(): void {
    if (this.variant.withoutReports === true) return
    const holds = [...this.running.values()].map(({ ask, decode, placedAt, decodingAt, answer }) => ({
      ask,
      decode,
      ageMs: this.now - placedAt,
      decodingForMs: this.now - decodingAt,
      madeTokens: Math.floor(answer.made),
    }))
    this.allocator.applyReport(ENTRY, holds, this.now)
    if (this.variant.withoutMoves === true) return
    for (const { request, to } of this.allocator.planMigrations(ENTRY, this.now)) this.move(request, to)
  }

  private move(request: string, to: string): void {
    const one = this.running.get(request)!
    const answer = this.engines.get(one.decode)!.take(request)
    if (answer === undefined) return
    one.decode = to
    this.engines.get(to)!.add(answer)
  }

  private arrive(): void {
    const isPeak = this.now % PEAK_EVERY_MS >= PEAK_FROM_MS
    const rate = this.rate * (isPeak ? PEAK : 1)
    if (this.random() >= (rate * STEP_MS) / 1_000) return
    const call = drawCall(this.random, this.shape, this.calls.length, this.now)
    this.calls.push(call)
    this.ask(call)
  }

  private ask(call: Call): void {
    const request = `r${(this.requests += 1)}`
    const leftMs = call.firstAt + DEADLINE_MS - this.now
    const elapsed = this.now - call.firstAt
    const isReturn = elapsed > RETURN_AFTER_MS
    const ask = {
      request,
      entry: ENTRY,
      service: SERVICE,
      className: 'c',
      promptTokens: Math.round(call.prompt),
      mostTokens: MOST_EVENTS * this.shape.tokensPerEvent,
      hintTokens: Math.round(call.hint),
      priority: 1,
      targetMs: TARGET_MS - (isReturn ? 0 : elapsed) - TRANSIT_MS,
      isReturn,
      promptMs: isReturn ? 0 : TARGET_MS * (this.variant.promptShare ?? PROMPT_SHARE) - TRANSIT_MS,
      holdMs: Math.min(TARGET_MS * 3.4, leftMs * 0.4),
      leftMs,
      pauseMs: LONGEST_PAUSE_MS,
      except: [],
      isPrefilled: false,
    }
    this.allocator.ask(ask, this.now, (decision) => this.decided(call, ask, decision))
  }

  private decided(call: Call, ask: PlaceAsk, decision: PlaceDecision): void {
    const { request } = ask
    const placedAt = this.now
    if (decision.type === 'refused') return this.refused(call, decision.retryAfterMs)
    if (decision.prefill === undefined) {
      const readAt = this.engines.get(decision.decode)!.read(call.prompt, this.now)
      return this.at(readAt, () => this.decode(call, ask, decision.decode, placedAt))
    }
    const prefill = decision.prefill
    const reader = this.readers.get(prefill)!
    const readAt =
      Math.max(this.now, reader.until) + (call.prompt * reader.slowness) / this.shape.engine.readsPerMs
    reader.until = readAt
    this.at(readAt + TRANSIT_MS, () => {
      this.allocator.recordPrefilled(request, 'ok', this.now - placedAt, this.now)
      this.decode(call, ask, decision.decode, placedAt)
    })
  }

  private refused(call: Call, retryAfterMs: number): void {
    const heldMs = this.now - call.arrivedAt
    if (call.isReturn) {
      call.worth = -REFUSED_AGAIN_COST - (heldMs > PROMPT_REFUSAL_MS ? HELD_COST : 0)
      return
    }
    call.wasPrompt = heldMs + TRANSIT_MS < PROMPT_REFUSAL_MS
    call.isReturn = true
    this.at(this.now + retryAfterMs, () => {
      call.arrivedAt = this.now
      this.ask(call)
    })
  }

  private decode(call: Call, ask: PlaceAsk, engine: string, placedAt: number): void {
    const { request } = ask
    const firstAt = this.now + TRANSIT_MS
    const answer = {
      request,
      promptTokens: call.prompt,
      outputTokens: call.output,
      made: 0,
      startedAt: this.now,
      rereadsUntil: 0,
      longestPauseMs: 0,
      eventAt: this.now,
      onEnd: () => {
        this.running.delete(request)
        this.allocator.release(request, 'ok', Math.round(call.output), this.now)
        if (this.now >= call.firstAt + DEADLINE_MS) return
        call.worth = worthOf(call, firstAt, answer.longestPauseMs)
        call.isInAim = call.worth === 1
      },
    }
    this.engines.get(engine)!.add(answer)
    this.running.set(request, { ask, decode: engine, placedAt, decodingAt: this.now, answer })
  }

  private at(time: number, act: () => void): void {
    this.later.push({ at: time, act })
  }

  private actDue(): void {
    const due = this.later.filter((one) => one.at <= this.now).sort((left, right) => left.at - right.at)
    if (due.length === 0) return
    this.later.splice(0, this.later.length, ...this.later.filter((one) => one.at > this.now))
    due.forEach((one) => one.act())
  }

  private servedOfLargest(): number {
    const served = (calls: Call[]) => calls.filter((call) => call.worth > 0).length / calls.length
    const bySize = [...this.calls].sort((left, right) => right.weight - left.weight)
    return served(bySize.slice(0, Math.ceil(bySize.length / 10))) / served(bySize)
  }

  private figures(lengthMs: number): RunFigures {
    const engines = [...this.engines.values()]
    const wastedTokens = engines.reduce((sum, one) => sum + one.rereadTokens, 0)
    const cost = (wastedTokens / 1_000) * WASTE_COST
    const owed = this.calls.reduce((sum, call) => sum + call.weight, 0)
    const worth = this.calls.reduce((sum, call) => sum + call.worth * call.weight, -cost) / owed
    const windows = Array.from({ length: Math.floor(lengthMs / WINDOW_MS) }, (_, index) => {
      const inside = this.calls.filter((call) => Math.floor(call.firstAt / WINDOW_MS) === index)
      const earned = inside.reduce((sum, call) => sum + Math.max(0, call.worth) * call.weight, 0)
      return inside.length === 0 ? 1 : earned / inside.reduce((sum, call) => sum + call.weight, 0)
    }).sort((left, right) => left - right)
    const share = (holds: (call: Call) => boolean) => this.calls.filter(holds).length / this.calls.length
    const heldTokenMs = engines.reduce((sum, one) => sum + one.heldTokenMs, 0)
    return {
      worth,
      worstWindows: (windows[0]! + windows[1]!) / 2,
      inAim: share((call) => call.isInAim),
      largest: this.servedOfLargest(),
      refused: share((call) => call.worth < 0),
      wastedTokens,
      fill: heldTokenMs / (engines.length * this.shape.engine.kvTokens * lengthMs),
    }
  }
}

function endpoint(id: string, stage: Stage): RegisteredEndpoint {
  return {
    id,
    stage,
    service: SERVICE,
    // Of instances at one address only the newest counts.
    address: `${id}:1`,
    zone: 'z',
    slots: 64,
    models: ['m'],
    state: 'ready',
    sequence: 1,
  }
}

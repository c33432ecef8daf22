import { Allocator, type AllocatorTuning, type PlaceAsk, type PlaceDecision } from '@forkstage/allocator'
import { createSeededRandom, type Random } from '@forkstage/clock'
import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import { EngineModel, type RunningAnswer } from './engineModel'
import {
  drawCall,
  MAX_EVENTS,
  SHAPES,
  TARGET_MS,
  worthOf,
  type Call,
  type WorkloadShape,
} from './memoryCalls'

/** Options of the memory experiment. */
export interface MemoryExperimentOptions {
  /** Number of prefill engines and of decode engines. */
  prefill: number
  decode: number
  /** Requests per second outside the peaks; each rate is a run of its own. */
  rates: number[]
  seeds: number
  /** Name of the workload shape. */
  shape: string
  /** Names of the variants to compare; all when empty. */
  variants: string[]
  /** Share of the engines that become slow for a while, and by which factor. */
  slow: { share: number; times: number }
}

/** A change from the defaults. */
export interface Variant {
  tuning?: Partial<AllocatorTuning>
  /** Share of the target within which a request without a placement in sight is refused. */
  promptRefusalShare?: number
  /** Whether entries send no reports on running answers. */
  withoutReports?: boolean
  /** Whether answers never migrate. */
  withoutMigrations?: boolean
}

const RUN_SECONDS = 60
/** Factor on the request rate during the last four of every ten seconds. */
const PEAK_FACTOR = 1.9
const PEAK_EVERY_MS = 10_000
const PEAK_FROM_MS = 6_000
const STEP_MS = 5
/** The affected engines are slow for the last ten of every twenty seconds. */
const SLOW_EVERY_MS = 20_000
const SLOW_FROM_MS = 10_000
const REPORT_EVERY_MS = 400
const ENTRY = 'e'
const MAX_PAUSE_MS = 300
const SERVICE = 'model'
const DEADLINE_MS = 14_000
const PROMPT_REFUSAL_SHARE = 0.17
const PROMPT_REFUSAL_MS = TARGET_MS / 4
const SECOND_TRY_AFTER_MS = TARGET_MS * 0.3
const TRANSIT_MS = 12
const SECOND_REFUSAL_COST = 0.3
const LATE_REFUSAL_COST = 0.1
/** Cost of a thousand wasted tokens, in units of request weight. */
const WASTE_COST_PER_1000_TOKENS = 0.16
const WINDOW_MS = 2_000

/** Results of one run. */
export interface RunFigures {
  worth: number
  worstWindows: number
  inAim: number
  /** Served share of the largest tenth of the requests, relative to that of all requests. */
  largest: number
  refusedShare: number
  wastedTokens: number
  fill: number
}

/** A running answer, as its entry knows it. */
interface PlacedRun {
  ask: PlaceAsk
  decode: string
  placedAt: number
  decodingAt: number
  answer: RunningAnswer
}

/** Simulates one run of one variant: callers, engines and the allocator, without a network. */
export class MemorySimulation {
  private readonly random: Random
  private readonly allocator: Allocator
  private readonly decodeEngines = new Map<string, EngineModel>()
  private readonly prefillEngines = new Map<string, { busyUntil: number; slowness: number }>()
  /** Running answers by request, as their entry knows them. */
  private readonly running = new Map<string, PlacedRun>()
  private readonly scheduled: { at: number; run: () => void }[] = []
  private readonly calls: Call[] = []
  private now = 0
  private requests = 0
  private readonly shape: WorkloadShape

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
      if (one.stage === 'decode') this.decodeEngines.set(one.id, new EngineModel(this.shape.engine))
      else this.prefillEngines.set(one.id, { busyUntil: 0, slowness: 1 })
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

  run(): RunFigures {
    const lengthMs = RUN_SECONDS * 1_000
    for (this.now = 0; this.now < lengthMs + DEADLINE_MS; this.now += STEP_MS) {
      if (this.now < lengthMs) this.generateArrival()
      this.runDue()
      this.updateSlowness()
      if (this.now % REPORT_EVERY_MS === 0) this.report()
      for (const engine of this.decodeEngines.values()) engine.advance(this.now, STEP_MS)
      if (this.now % 25 === 0) this.allocator.tick(this.now)
    }
    return this.figures(lengthMs)
  }

  /** Slows down the first engines of each stage, or restores their speed. */
  private updateSlowness(): void {
    const { share, times } = this.options.slow
    const slowness = this.now % SLOW_EVERY_MS >= SLOW_FROM_MS ? times : 1
    for (const pool of [this.decodeEngines, this.prefillEngines] as Map<string, { slowness: number }>[]) {
      const slowed = [...pool.values()].slice(0, Math.round(pool.size * share))
      for (const engine of slowed) engine.slowness = slowness
    }
  }

  /** Reports the progress of running answers, then carries out the migrations that the allocator plans. */
  private report(): void {
    if (this.variant.withoutReports === true) return
    const holds = [...this.running.values()].map(({ ask, decode, placedAt, decodingAt, answer }) => ({
      ask,
      decode,
      ageMs: this.now - placedAt,
      decodingForMs: this.now - decodingAt,
      madeTokens: Math.floor(answer.producedTokens),
    }))
    this.allocator.applyReport(ENTRY, holds, this.now)
    if (this.variant.withoutMigrations === true) return
    for (const { request, to } of this.allocator.planMigrations(ENTRY, this.now)) this.migrate(request, to)
  }

  private migrate(request: string, to: string): void {
    const one = this.running.get(request)!
    const answer = this.decodeEngines.get(one.decode)!.remove(request)
    if (answer === undefined) return
    one.decode = to
    this.decodeEngines.get(to)!.add(answer)
  }

  private generateArrival(): void {
    const isPeak = this.now % PEAK_EVERY_MS >= PEAK_FROM_MS
    const rate = this.rate * (isPeak ? PEAK_FACTOR : 1)
    if (this.random() >= (rate * STEP_MS) / 1_000) return
    const call = drawCall(this.random, this.shape, this.calls.length, this.now)
    this.calls.push(call)
    this.ask(call)
  }

  private ask(call: Call): void {
    const request = `r${(this.requests += 1)}`
    const leftMs = call.firstAt + DEADLINE_MS - this.now
    const elapsed = this.now - call.firstAt
    const isReturn = elapsed > SECOND_TRY_AFTER_MS
    const ask = {
      request,
      entry: ENTRY,
      service: SERVICE,
      className: 'c',
      promptTokens: Math.round(call.promptTokens),
      mostTokens: MAX_EVENTS * this.shape.tokensPerEvent,
      hintTokens: Math.round(call.hintTokens),
      priority: 1,
      targetMs: TARGET_MS - (isReturn ? 0 : elapsed) - TRANSIT_MS,
      isReturn,
      promptMs: isReturn
        ? 0
        : TARGET_MS * (this.variant.promptRefusalShare ?? PROMPT_REFUSAL_SHARE) - TRANSIT_MS,
      holdMs: Math.min(TARGET_MS * 3.4, leftMs * 0.4),
      leftMs,
      pauseMs: MAX_PAUSE_MS,
      except: [],
      isPrefilled: false,
    }
    this.allocator.ask(ask, this.now, (decision) => this.applyDecision(call, ask, decision))
  }

  private applyDecision(call: Call, ask: PlaceAsk, decision: PlaceDecision): void {
    const { request } = ask
    const placedAt = this.now
    if (decision.type === 'refused') return this.applyRefusal(call, decision.retryAfterMs)
    if (decision.prefill === undefined) {
      const prefilledAt = this.decodeEngines.get(decision.decode)!.prefill(call.promptTokens, this.now)
      return this.at(prefilledAt, () => this.decode(call, ask, decision.decode, placedAt))
    }
    const prefill = decision.prefill
    const prefillEngine = this.prefillEngines.get(prefill)!
    const prefilledAt =
      Math.max(this.now, prefillEngine.busyUntil) +
      (call.promptTokens * prefillEngine.slowness) / this.shape.engine.prefillTokensPerMs
    prefillEngine.busyUntil = prefilledAt
    this.at(prefilledAt + TRANSIT_MS, () => {
      this.allocator.recordPrefilled(request, 'ok', this.now - placedAt, this.now)
      this.decode(call, ask, decision.decode, placedAt)
    })
  }

  private applyRefusal(call: Call, retryAfterMs: number): void {
    const heldMs = this.now - call.arrivedAt
    if (call.isReturn) {
      call.worth = -SECOND_REFUSAL_COST - (heldMs > PROMPT_REFUSAL_MS ? LATE_REFUSAL_COST : 0)
      return
    }
    call.wasRefusedPromptly = heldMs + TRANSIT_MS < PROMPT_REFUSAL_MS
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
      promptTokens: call.promptTokens,
      outputTokens: call.outputTokens,
      producedTokens: 0,
      startedAt: this.now,
      preemptedAt: 0,
      longestPauseMs: 0,
      lastEventAt: this.now,
      onEnd: () => {
        this.running.delete(request)
        this.allocator.release(request, 'ok', Math.round(call.outputTokens), this.now)
        if (this.now >= call.firstAt + DEADLINE_MS) return
        call.worth = worthOf(call, firstAt, answer.longestPauseMs)
        call.metTarget = call.worth === 1
      },
    }
    this.decodeEngines.get(engine)!.add(answer)
    this.running.set(request, { ask, decode: engine, placedAt, decodingAt: this.now, answer })
  }

  private at(time: number, run: () => void): void {
    this.scheduled.push({ at: time, run })
  }

  private runDue(): void {
    const due = this.scheduled.filter((one) => one.at <= this.now).sort((left, right) => left.at - right.at)
    if (due.length === 0) return
    this.scheduled.splice(0, this.scheduled.length, ...this.scheduled.filter((one) => one.at > this.now))
    due.forEach((one) => one.run())
  }

  private servedRatioOfLargest(): number {
    const served = (calls: Call[]) => calls.filter((call) => call.worth > 0).length / calls.length
    const bySize = [...this.calls].sort((left, right) => right.weight - left.weight)
    return served(bySize.slice(0, Math.ceil(bySize.length / 10))) / served(bySize)
  }

  private figures(lengthMs: number): RunFigures {
    const engines = [...this.decodeEngines.values()]
    const wastedTokens = engines.reduce((sum, one) => sum + one.recomputedTokens, 0)
    const cost = (wastedTokens / 1_000) * WASTE_COST_PER_1000_TOKENS
    const totalWeight = this.calls.reduce((sum, call) => sum + call.weight, 0)
    const worth = this.calls.reduce((sum, call) => sum + call.worth * call.weight, -cost) / totalWeight
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
      inAim: share((call) => call.metTarget),
      largest: this.servedRatioOfLargest(),
      refusedShare: share((call) => call.worth < 0),
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
    // Only the newest instance at an address counts, so each has its own.
    address: `${id}:1`,
    zone: 'z',
    slots: 64,
    models: ['m'],
    state: 'ready',
    sequence: 1,
  }
}

import { createSeededRandom, every, ManualClock } from '@forkstage/clock'
import {
  CrashTracker,
  decideSending,
  TrialScheduler,
  type CrashRecord,
  type SendingDecision,
  type TrialAnswer,
} from '../src'
import type { Endpoint, Outcome, Poison, RelayedRequest, Running, SimulationOptions } from './simulationParts'

export type { SimulationOptions } from './simulationParts'

const ENDS = 3
const KEEP_MS = 3_600_000
const WORK_MS = 60
/** How long an endpoint is down after a crash. */
const DOWN_MS = 1_500
/** From the start of a poison request to the crash of its endpoint. */
const CRASH_AFTER_MS = [20, 120] as const
/** From a crash to its confirmation at an entry. */
const CONFIRM_AFTER_MS = 60
/** One-way delay between an entry and the leader. */
const DELAY_MS = [2, 12] as const
/** How long an entry waits for an endpoint that is up. */
const WAIT_MS = 150
/** Poll interval of waiting requests. */
const POLL_MS = 10
const CALLER_RETRY_MS = 400
const ATTEMPTS = 2
/** The longest that an entry waits for an isolated trial or a turn. */
const MAX_WAIT_MS = 1_000
/** A poison request must not reach an endpoint later than this after its content's third crash. */
const LATE_MS = 1_000

/** Simulates entries, a leader and plain endpoints on one clock. Poison contents crash each endpoint that runs them. */
export class CrashSimulation {
  readonly clock = new ManualClock()
  readonly poisonContents = new Map<string, Poison>()
  readonly refusedHarmless = new Set<string>()
  served = 0
  harmlessCount = 0
  /** How often harmless requests were refused. */
  refusedTimes = 0
  private readonly random
  private readonly endpoints: Endpoint[]
  private readonly trackers: CrashTracker[]
  private leader: CrashTracker
  private scheduler: TrialScheduler
  /** The reserved endpoints known to each entry. */
  private readonly reserved: Set<string>[]
  private count = 0
  private requests = 0

  constructor(private readonly options: SimulationOptions) {
    const { seed, kinds, endpoints = 6, entries = 4 } = options
    this.random = createSeededRandom(seed)
    this.endpoints = Array.from({ length: endpoints }, (_, index) => ({
      name: `p${index}`,
      incarnation: 0,
      isUp: true,
      running: new Set(),
    }))
    this.trackers = Array.from({ length: entries }, () => this.newTracker())
    this.leader = this.newTracker()
    this.scheduler = this.newScheduler()
    this.reserved = this.trackers.map(() => new Set())
    every(this.clock, 100, () => this.scheduler.sweepExpired())
    for (let kind = 0; kind < kinds; kind += 1)
      this.poisonContents.set(`poison${kind}`, { crashedAt: [], arrivedAt: [] })
  }

  run(forMs: number): void {
    const { poisonPerSecond = 5, harmlessPerSecond = 25, leaderLostEveryMs = Infinity } = this.options
    const names = [...this.poisonContents.keys()]
    const repeat = (perSecond: number, what: () => void, fromMs = 1) => {
      const next = () => {
        if (this.clock.now() >= forMs) return
        what()
        this.clock.after((-Math.log(1 - this.random()) * 1_000) / perSecond, next)
      }
      this.clock.after(fromMs, next)
    }
    const { poisonFromMs } = this.options
    repeat(poisonPerSecond, () => this.call(names[Math.floor(this.random() * names.length)]!), poisonFromMs)
    const { popular = Infinity } = this.options
    repeat(harmlessPerSecond, () => this.call(`harmless${(this.count += 1) % popular}`))
    if (leaderLostEveryMs < Infinity) repeat(1_000 / leaderLostEveryMs, () => this.loseLeader())
    this.clock.advance(forMs + 10_000)
  }

  /** The most crashes of any poison content. */
  get mostCrashes(): number {
    return Math.max(...[...this.poisonContents.values()].map(({ crashedAt }) => crashedAt.length))
  }

  /** Poison requests that reached an endpoint more than {@link LATE_MS} after their content's third crash. */
  get late(): number {
    const each = [...this.poisonContents.values()].map(({ crashedAt, arrivedAt }) => {
      const third = crashedAt[ENDS - 1]
      return third === undefined ? 0 : arrivedAt.filter((at) => at > third + LATE_MS).length
    })
    return each.reduce((sum, one) => sum + one, 0)
  }

  private newTracker(): CrashTracker {
    return new CrashTracker({ now: () => this.clock.now(), ends: ENDS, keepMs: KEEP_MS })
  }

  private between([from, to]: readonly [number, number]): number {
    return from + this.random() * (to - from)
  }

  private call(content: string): void {
    const isHarmless = !this.poisonContents.has(content)
    if (isHarmless) this.harmlessCount += 1
    const isImpatient = this.random() < (this.options.impatientShare ?? 0)
    const attempt = (callerAttempts: number): void => {
      const entry = Math.floor(this.random() * this.trackers.length)
      const done = (outcome: Outcome) => {
        if (outcome === 'served') {
          if (isHarmless) this.served += 1
          return
        }
        if (outcome === 'refused' && isHarmless) this.refusedHarmless.add(content)
        if (outcome === 'refused' && isHarmless) this.refusedTimes += 1
        if (callerAttempts > 1)
          this.clock.after(isImpatient ? 1 : CALLER_RETRY_MS, () => attempt(callerAttempts - 1))
      }
      this.relay(this.newRequest(entry, content, done))
    }
    attempt(isImpatient ? 4 : 2)
  }

  private newRequest(entry: number, content: string, done: (outcome: Outcome) => void): RelayedRequest {
    this.requests += 1
    const request: RelayedRequest = {
      id: `r${this.requests}`,
      entry,
      content,
      tried: new Set(),
      attempts: ATTEMPTS,
      waitedMs: 0,
      lost: [],
      hasTurn: false,
      done: (outcome) => {
        this.endTurn(request)
        done(outcome)
      },
    }
    return request
  }

  private relay(request: RelayedRequest): void {
    const { content, tried } = request
    const decision = this.decide(request)
    if (decision === 'refuse') return request.done('refused')
    if (decision === 'await-confirmation') return this.relayLater(request, POLL_MS)
    if (decision === 'isolate') return this.runIsolated(request)
    if (decision === 'serialize' && !request.hasTurn) return this.awaitTurn(request)
    const up = this.endpoints.filter(
      (one) => one.isUp && !this.reserved[request.entry]!.has(incarnationOf(one)),
    )
    const fresh = up.filter(({ name }) => !tried.has(name))
    const among = fresh.length > 0 ? fresh : up
    if (among.length === 0) {
      if (request.waitedMs >= WAIT_MS) return request.done('no room')
      return this.relayLater(request, POLL_MS)
    }
    const target = among[Math.floor(this.random() * among.length)]!
    tried.add(target.name)
    const incarnation = incarnationOf(target)
    const lost = () => {
      request.lost.push(incarnation)
      request.hasTurn = false
      request.attempts -= 1
      request.waitedMs = 0
      if (request.attempts > 0) this.relay(request)
      else request.done('lost')
    }
    this.work(target, { content, entry: request.entry, lost }, () => request.done('served'))
  }

  private decide({ entry, content, lost }: RelayedRequest): SendingDecision['type'] {
    const tracker = this.trackers[entry]!
    const unconfirmed = lost.filter((incarnation) => !tracker.hasCrashed(incarnation)).length
    return decideSending({ tracker, content, service: 's', hasTrials: () => true, unconfirmed }).type
  }

  private relayLater(request: RelayedRequest, ms: number): void {
    request.waitedMs += ms
    this.clock.after(ms, () => this.relay(request))
  }

  private work(target: Endpoint, running: Running, served: () => void): void {
    const { content, entry } = running
    target.running.add(running)
    const poison = this.poisonContents.get(content)
    poison?.arrivedAt.push(this.clock.now())
    const { incarnation } = target
    const isThere = () => target.isUp && target.incarnation === incarnation && target.running.has(running)
    if (poison !== undefined)
      return void this.clock.after(this.between(CRASH_AFTER_MS), () => {
        if (isThere()) this.crash(target)
      })
    this.clock.after(WORK_MS, () => {
      if (!isThere()) return
      target.running.delete(running)
      served()
      this.report(entry, this.trackers[entry]!.recordServed(content))
    })
  }

  private crash(endpoint: Endpoint): void {
    const incarnation = incarnationOf(endpoint)
    const lost = [...endpoint.running]
    endpoint.running.clear()
    endpoint.isUp = false
    for (const content of new Set(lost.map((one) => one.content)))
      this.poisonContents.get(content)?.crashedAt.push(this.clock.now())
    this.clock.after(DOWN_MS, () => {
      endpoint.incarnation += 1
      endpoint.isUp = true
    })
    this.clock.after(CONFIRM_AFTER_MS, () => {
      for (const entry of new Set(lost.map((one) => one.entry))) {
        const contents = lost
          .filter((one) => one.entry === entry)
          .map(({ content }) => ({ content, isEarly: true }))
        this.report(entry, this.trackers[entry]!.recordCrash(incarnation, contents))
      }
    })
    lost.forEach((one) => one.lost())
  }

  private report(entry: number, records: CrashRecord[]): void {
    if (records.length === 0) return
    const { leader } = this
    this.clock.after(this.between(DELAY_MS), () => {
      // Reported again to the next leader.
      if (leader !== this.leader) return this.report(entry, records)
      leader.merge(records)
      for (const one of this.trackers) this.clock.after(this.between(DELAY_MS), () => void one.merge(records))
    })
  }

  /** Asks the leader for an isolated trial and waits for it up to a limit, as entries do. */
  private runIsolated(request: RelayedRequest): void {
    this.ask(request, undefined, (answer, scheduler) => {
      if (answer.type === 'granted') return this.runAt(request, answer.endpoint, scheduler)
      if (answer.type !== 'later') throw new Error('the simulation has enough endpoints')
      if (request.waitedMs + answer.retryAfterMs > MAX_WAIT_MS) return request.done('no room')
      this.relayLater(request, answer.retryAfterMs)
    })
  }

  /** Waits for the turn of the request's content up to a limit, and then runs without one. */
  private awaitTurn(request: RelayedRequest, waitedMs = 0): void {
    this.ask(request, request.id, (answer, scheduler) => {
      request.turn = scheduler
      request.hasTurn = true
      if (answer.type === 'isolate') return this.runIsolated(request)
      if (answer.type !== 'later' || waitedMs + answer.retryAfterMs > MAX_WAIT_MS) return this.relay(request)
      this.clock.after(answer.retryAfterMs, () => {
        if (this.decide(request) === 'serialize')
          return this.awaitTurn(request, waitedMs + answer.retryAfterMs)
        this.relay(request)
      })
    })
  }

  private ask(
    { entry, content }: RelayedRequest,
    turnOf: string | undefined,
    then: (answer: TrialAnswer, scheduler: TrialScheduler) => void,
  ): void {
    const { scheduler, leader } = this
    const records = this.trackers[entry]!.recordsOf([content])
    this.clock.after(this.between(DELAY_MS), () => {
      leader.merge(records)
      const answer = scheduler.ask({ service: 's', content, turnOf })
      this.clock.after(this.between(DELAY_MS), () => then(answer, scheduler))
    })
  }

  private runAt(request: RelayedRequest, endpoint: string, scheduler: TrialScheduler): void {
    const { entry, content } = request
    const target = this.endpoints.find((one) => one.isUp && incarnationOf(one) === endpoint)
    const end = () =>
      this.clock.after(this.between(DELAY_MS), () => scheduler.end({ service: 's', content, endpoint }))
    if (target === undefined || scheduler !== this.scheduler) {
      end()
      return request.done('no room')
    }
    const lost = () => {
      this.clock.after(CONFIRM_AFTER_MS, end)
      request.lost.push(endpoint)
      request.done('lost')
    }
    this.work(target, { content, entry, lost }, () => {
      end()
      request.done('served')
    })
  }

  /** Reports the losses of this turn before it ends, so that the next turn sees them. */
  private endTurn({ entry, id, content, turn, lost }: RelayedRequest): void {
    if (turn === undefined) return
    const tracker = this.trackers[entry]!
    const confirmedIn = lost.every((incarnation) => tracker.hasCrashed(incarnation)) ? 0 : CONFIRM_AFTER_MS
    this.clock.after(confirmedIn, () => {
      const records = tracker.recordsOf([content])
      this.clock.after(this.between(DELAY_MS), () => {
        if (turn === this.scheduler) this.leader.merge(records)
        turn.end({ service: 's', content, turnOf: id })
      })
    })
  }

  private newScheduler(): TrialScheduler {
    const scheduler: TrialScheduler = new TrialScheduler({
      now: () => this.clock.now(),
      random: this.random,
      registered: () => this.endpoints.map(incarnationOf),
      hasCrashed: (incarnation) => this.leader.hasCrashed(incarnation),
      isSuspect: (content) => this.leader.isSuspect(content),
      onChange: () => this.propagateReserved(scheduler),
    })
    return scheduler
  }

  private propagateReserved(scheduler: TrialScheduler): void {
    // Carries the state at delivery, as watch answers do, so that a late one cannot bring an older state.
    this.trackers.forEach((_, entry) =>
      this.clock.after(this.between(DELAY_MS), () => {
        if (scheduler === this.scheduler) this.reserved[entry] = new Set(scheduler.endpoints)
      }),
    )
  }

  private loseLeader(): void {
    this.leader = this.newTracker()
    this.scheduler = this.newScheduler()
    this.propagateReserved(this.scheduler)
  }
}

function incarnationOf({ name, incarnation }: Endpoint): string {
  return `${name}~${incarnation}`
}

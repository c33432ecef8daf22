import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { createSeededRandom, every, ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { LimitKeeper, LimitLedger, RateBook, type LimitAnswer, type LimitReport } from '@forkstage/limits'
import { createSilentLogger } from '@forkstage/logger'
import { EndpointPool, LimitGate, RetryAllowance, type RelayParts } from '../src'
import { relayPlain } from '../src/plainRelay'
import type { RelayJob } from '../src/relayParts'
import { FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { fullEndpoint, fullRoute } from './fullRows'
import { TEST_WIRE } from './testWire'

const STEP_MS = 5
const REST_STEP_MS = 100
const WORK_MS = 60
const REPORT_MS = 500
/** The longest way between two machines. */
const WAY_MS = 10
/** Past the first seconds of an entry, in which it takes the entries to be many. */
const SETTLED_MS = 31_000
const SLOTS = 6
const DEADLINE_MS = 3_000
const ROUTE = fullRoute({ kind: 'safe', targetMs: 300, timeoutMs: 1_500, attempts: 2 })
/** How many turns of the event loop nothing must have moved in. */
const QUIET_TURNS = 3
/** Over this time an endpoint gets no more than so many times what its rate allows, and some requests beside that. */
const WINDOW_MS = 4_000
const MOST_SHARE = 1.5
const MOST_SLACK = 5
/** The bound holds for so long after an endpoint first named its rate. */
const BINDS_AFTER_MS = 3_000
/** An entry counts as told so long after it has passed on an answer that names the rate. */
const TOLD_AFTER_MS = 500

interface Arrival {
  at: number
  entry: number
}

/** An endpoint that names a rate in its answers from some time on. */
export class LimitedWorker {
  /** Requests a second; undefined where it names none. */
  perSecond: number | undefined
  namedAt = Infinity
  /** What it has named, the newest last. */
  private readonly rates: { perSecond: number | undefined; from: number }[] = []
  readonly arrivals: Arrival[] = []
  /** Since when each entry has passed on an answer that names a rate. */
  readonly toldAt = new Map<number, number>()

  constructor(readonly worker: FakeWorker) {}

  /** Names a rate from now on; undefined takes it back. */
  name(perSecond: number | undefined, now: number): void {
    this.perSecond = perSecond
    this.rates.push({ perSecond, from: now })
    if (this.namedAt === Infinity) this.namedAt = now
  }

  /**
   * The most that it got in a window beyond what the highest rate of that window allows, from entries that knew; 0 or
   * less where it was kept.
   */
  worstExcess(): number {
    const from = this.namedAt + BINDS_AFTER_MS
    const told = this.arrivals.filter(
      ({ at, entry }) => at >= (this.toldAt.get(entry) ?? Infinity) + TOLD_AFTER_MS,
    )
    const excesses = told
      .filter(({ at: end }) => end >= from)
      .map(
        ({ at: end }) =>
          told.filter(({ at }) => at <= end && at > end - WINDOW_MS).length - this.allowed(end),
      )
    return Math.max(0, ...excesses)
  }

  private allowed(end: number): number {
    const within = this.rates.filter(
      (_, index) => (this.rates[index + 1]?.from ?? Infinity) > end - WINDOW_MS,
    )
    const highest = Math.max(
      ...within.filter(({ from }) => from <= end).map((one) => one.perSecond ?? Infinity),
    )
    return Math.floor((highest * WINDOW_MS * MOST_SHARE) / 1_000 + MOST_SLACK)
  }

  /** Arrivals a second within a span, from all entries. */
  rateWithin(from: number, until: number): number {
    return (this.arrivals.filter(({ at }) => at >= from && at < until).length * 1_000) / (until - from)
  }
}

/** What a caller got. */
export interface Outcome {
  sentAt: number
  status: number
  tookMs: number
  /** Seconds; absent where it was told none. */
  retryAfter?: number
}

/** Entries on one clock before plain endpoints that answer after a while; sockets carry requests, no timer is real. */
export class LimitWorld {
  readonly clock = new ManualClock(100_000)
  readonly random = createSeededRandom(40)
  readonly outcomes: Outcome[] = []
  readonly entries: RelayParts[] = []
  /** Entries that do not hear the leader. */
  readonly cutOff = new Set<number>()
  /** Undefined while none leads. */
  leader: LimitLedger | undefined
  private term = 0
  /** Connections that one endpoint takes from all entries. */
  maxConnections = 100
  /** The most requests that an endpoint held at once. */
  mostHeld = 0
  private held = 0
  private count = 0
  private running = 0

  private constructor(
    readonly workers: LimitedWorker[],
    private readonly entryCount: number,
  ) {
    this.elect()
  }

  static async start(entryCount: number, workerCount = 3): Promise<LimitWorld> {
    const world: LimitWorld = new LimitWorld([], entryCount)
    for (let index = 0; index < workerCount; index += 1) {
      const worker = await FakeWorker.start((request) => world.work(index, request))
      world.workers.push(new LimitedWorker(worker))
    }
    for (let index = 0; index < entryCount; index += 1) world.entries.push(world.createEntry(index))
    world.clock.advance(SETTLED_MS)
    return world
  }

  async stop(): Promise<void> {
    await Promise.all(this.workers.map(({ worker }) => worker.stop()))
  }

  /** Lets an endpoint name a rate from now on; undefined takes it back. */
  name(index: number, perSecond: number | undefined): void {
    this.workers[index]!.name(perSecond, this.clock.now())
  }

  /** Callers come for a time, so many a second, each at any entry, or at those given. */
  async play(
    perSecond: number,
    forMs: number,
    at: (draw: number) => number = (draw) => Math.floor(draw * this.entries.length),
  ) {
    const end = this.clock.now() + forMs
    let due = this.clock.now()
    while (this.clock.now() < end) {
      for (; due <= this.clock.now(); due += 1_000 / perSecond) this.call(at(this.random()))
      await this.settle()
      this.clock.advance(STEP_MS)
    }
    await this.settle()
  }

  /** Lets time pass in which nobody calls. */
  async rest(forMs: number): Promise<void> {
    for (let passed = 0; passed < forMs; passed += REST_STEP_MS) {
      this.clock.advance(REST_STEP_MS)
      await this.settle()
    }
  }

  /** Lets what is under way end. */
  async drain(): Promise<void> {
    while (this.running > 0) {
      this.clock.advance(STEP_MS)
      await this.settle()
    }
  }

  /** The share of callers since a time that were served within the target. */
  servedInTime(since = 0): number {
    const all = this.outcomes.filter(({ sentAt }) => sentAt >= since)
    return all.filter(({ status, tookMs }) => status === 200 && tookMs <= ROUTE.targetMs).length / all.length
  }

  private createEntry(index: number): RelayParts {
    const { clock, random } = this
    const logger = createSilentLogger()
    const pool = new EndpointPool({ zone: 'z', clock, random, logger })
    pool.update(this.endpoints())
    const allowance = new RetryAllowance({
      clock,
      share: 0.2,
      slack: 50,
      windowMs: 10_000,
      entries: () => this.entries.length,
    })
    const rates = new RateBook({ clock, logger })
    const placer = { place: () => Promise.reject(new Error('no model requests here')) }
    return {
      wire: TEST_WIRE,
      pool,
      placer,
      allowance,
      entries: () => this.entryCount,
      rates,
      clock,
      random,
      logger,
      ...this.limitParts(index, rates),
    }
  }

  /** What holds an entry to the rates that endpoints name. */
  private limitParts(index: number, book: RateBook): Partial<RelayParts> {
    const { clock, random } = this
    const keeper = new LimitKeeper({
      entry: `e${index}`,
      clock,
      book,
      report: (report) => this.report(index, report),
      leader: () => 'leader',
      reportEveryMs: REPORT_MS,
    })
    keeper.start()
    const tolerance = { windowMs: WINDOW_MS, over: MOST_SHARE - 1, slack: MOST_SLACK }
    const gate = new LimitGate({ clock, random, book, keeper, tolerance, entries: () => this.entryCount })
    every(clock, 1_000, () => gate.look(() => true))
    return { limits: gate }
  }

  /** A new leader, which knows nothing of what the one before permitted, nor of rates. */
  elect(): void {
    this.term += 1
    const { clock, term } = this
    const book = new RateBook({ clock, logger: createSilentLogger() })
    this.leader = new LimitLedger({ clock, book, term: () => term })
  }

  /** The leader's answer, some milliseconds later; none from one that is gone, or to an entry that is cut off. */
  private report(entry: number, report: LimitReport): Promise<LimitAnswer | undefined> {
    const way = () => 1 + this.random() * WAY_MS
    return new Promise((resolve) => {
      this.clock.after(way(), () => {
        const answer = this.cutOff.has(entry) ? undefined : this.leader?.take(report)
        this.clock.after(answer === undefined ? REPORT_MS : way(), () => resolve(answer))
      })
    })
  }

  private endpoints(): RegisteredEndpoint[] {
    return this.workers.map(({ worker }, index) =>
      fullEndpoint({ address: worker.address, slots: SLOTS }, index),
    )
  }

  private work(index: number, request: SeenRequest): void {
    const { clock } = this
    const one = this.workers[index]!
    const entry = Number(request.headers['x-id']!.split('-')[0])
    one.arrivals.push({ at: clock.now(), entry })
    this.held += 1
    this.mostHeld = Math.max(this.mostHeld, this.held)
    clock.after(WORK_MS, () => {
      this.held -= 1
      if (one.perSecond !== undefined && !one.toldAt.has(entry)) one.toldAt.set(entry, clock.now())
      const rows = one.perSecond === undefined ? [] : [`x-takes: ${one.perSecond}`]
      request.socket.end(goodAnswer(request, 'hello', rows))
    })
  }

  private call(entry: number): void {
    const { clock } = this
    const sentAt = clock.now()
    const parts = this.entries[entry]!
    const response = new TakenAnswer()
    parts.allowance.noteRequest('plain')
    this.count += 1
    this.running += 1
    void relayPlain(parts, this.toJob(`${entry}-${this.count}`, sentAt, response)).then(({ status }) => {
      this.running -= 1
      const { retryAfter } = response
      this.outcomes.push({ sentAt, status, tookMs: clock.now() - sentAt, retryAfter })
    })
  }

  private toJob(id: string, arrivedAt: number, response: TakenAnswer): RelayJob {
    const request = {
      id,
      method: 'GET',
      path: '/p/',
      host: 'h.example',
      headers: {},
      rawHeaders: ['x-id', id],
      body: Buffer.alloc(0),
      content: () => 'c' as never,
      arrivedAt,
      deadlineMs: DEADLINE_MS,
      response: response as unknown as ServerResponse,
      isGone: () => false,
      onGone: () => undefined,
    }
    const service = { name: 'plain', maxConnections: this.maxConnections }
    const endsAt = arrivedAt + ROUTE.timeoutMs
    const targetAt = arrivedAt + ROUTE.targetMs
    const rest = { isReturn: false, rank: 1, homes: () => undefined }
    return { request, route: ROUTE, service, endsAt, targetAt, ...rest }
  }

  /** Lets the sockets carry on until all that was sent is held by endpoints, and nothing moves any more. */
  private async settle(): Promise<void> {
    for (let quiet = 0; quiet < QUIET_TURNS; quiet += 1) {
      await new Promise<void>((resolve) => setImmediate(resolve))
      if (this.inFlight() !== this.held) quiet = -1
    }
  }

  private inFlight(): number {
    const pooled = this.entries.flatMap(({ pool }) =>
      this.workers.map((_, index) => pool.get(`i-${index}`)?.inFlight ?? 0),
    )
    return pooled.reduce((sum, one) => sum + one, 0)
  }
}

/** Takes an answer in place of a caller's connection. */
class TakenAnswer extends EventEmitter {
  headersSent = false
  destroyed = false
  statusCode = 0
  shouldKeepAlive = true
  useChunkedEncodingByDefault = true
  retryAfter: number | undefined

  setHeader(name: string, value: string | number): void {
    if (name === 'Retry-After') this.retryAfter = Number(value)
  }

  writeHead(): void {
    this.headersSent = true
  }

  end(): void {
    this.headersSent = true
  }
}

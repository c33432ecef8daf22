import { every } from '@forkstage/clock'
import {
  PermitClient,
  PermitAllocator,
  RateTable,
  type LimitAnswer,
  type LimitReport,
} from '@forkstage/limits'
import { createSilentLogger } from '@forkstage/logger'
import { EndpointRateLimiter, type RelayParts } from '../src'
import { goodAnswer, type SeenRequest } from './fakeWorker'
import { PlainHarness, type Work } from './plainHarness'

const WORK_MS = 60
const REPORT_MS = 500
/** The longest way between two machines. */
const MAX_DELAY_MS = 10
/** Over this time an endpoint gets no more than so many times what its rate allows, and some requests beside that. */
const WINDOW_MS = 4_000
const MAX_SHARE = 1.5
const MAX_SLACK = 5
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

  /** Names a rate from now on; undefined takes it back. */
  announceRate(perSecond: number | undefined, now: number): void {
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
    return Math.floor((highest * WINDOW_MS * MAX_SHARE) / 1_000 + MAX_SLACK)
  }

  /** Arrivals a second within a span, from all entries. */
  rateWithin(from: number, until: number): number {
    return (this.arrivals.filter(({ at }) => at >= from && at < until).length * 1_000) / (until - from)
  }
}

/** Entries on one clock before plain endpoints that answer after a while, and name rates. */
export class LimitHarness extends PlainHarness {
  readonly workers: LimitedWorker[] = []
  /** Entries that do not hear the leader. */
  readonly cutOff = new Set<number>()
  /** Undefined while none leads. */
  leader: PermitAllocator | undefined
  private term = 0

  private constructor(entryCount: number) {
    super(entryCount)
    this.elect()
  }

  static async start(entryCount: number, workerCount = 3): Promise<LimitHarness> {
    const harness = new LimitHarness(entryCount)
    for (let index = 0; index < workerCount; index += 1) harness.workers.push(new LimitedWorker())
    await harness.open(workerCount)
    return harness
  }

  /** Lets an endpoint name a rate from now on; undefined takes it back. */
  announceRate(index: number, perSecond: number | undefined): void {
    this.workers[index]!.announceRate(perSecond, this.clock.now())
  }

  /** What holds an entry to the rates that endpoints name. */
  protected override partsOf(index: number): Partial<RelayParts> {
    const { clock, random } = this
    const book = new RateTable({ clock, logger: createSilentLogger() })
    const keeper = new PermitClient({
      entry: `e${index}`,
      clock,
      rates: book,
      report: (report) => this.report(index, report),
      leader: () => 'leader',
      reportEveryMs: REPORT_MS,
    })
    keeper.start()
    const tolerance = { windowMs: WINDOW_MS, over: MAX_SHARE - 1, slack: MAX_SLACK }
    const limiter = new EndpointRateLimiter({
      clock,
      random,
      rates: book,
      permits: keeper,
      tolerance,
      entries: () => this.entryCount,
    })
    every(clock, 1_000, () => limiter.sweep(() => true))
    return { rates: book, limits: limiter }
  }

  /** A new leader, which knows nothing of what the one before permitted, nor of rates. */
  elect(): void {
    this.term += 1
    const { clock, term } = this
    const book = new RateTable({ clock, logger: createSilentLogger() })
    this.leader = new PermitAllocator({ clock, rates: book, term: () => term })
  }

  /** The leader's answer, some milliseconds later; none from one that is gone, or to an entry that is cut off. */
  private report(entry: number, report: LimitReport): Promise<LimitAnswer | undefined> {
    const delay = () => 1 + this.random() * MAX_DELAY_MS
    return new Promise((resolve) => {
      this.clock.after(delay(), () => {
        const answer = this.cutOff.has(entry) ? undefined : this.leader?.allocate(report)
        this.clock.after(answer === undefined ? REPORT_MS : delay(), () => resolve(answer))
      })
    })
  }

  protected override work(index: number, request: SeenRequest, entry: number): Work {
    const one = this.workers[index]!
    one.arrivals.push({ at: this.clock.now(), entry })
    const answer = () => {
      if (one.perSecond !== undefined && !one.toldAt.has(entry)) one.toldAt.set(entry, this.clock.now())
      const rows = one.perSecond === undefined ? [] : [`x-takes: ${one.perSecond}`]
      return goodAnswer(request, 'hello', rows)
    }
    return { inMs: WORK_MS, answer }
  }
}

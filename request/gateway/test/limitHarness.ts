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
/** The longest delay of a message between two machines. */
const MAX_DELAY_MS = 10
/** In any window of this length an endpoint may get at most this factor times its rate, plus some requests. */
const WINDOW_MS = 4_000
const MAX_SHARE = 1.5
const MAX_SLACK = 5
/** The limit applies from this long after an endpoint first advertised its rate. */
const BINDS_AFTER_MS = 3_000
/** An entry counts as informed this long after it has forwarded an answer that advertises the rate. */
const INFORMED_AFTER_MS = 500

interface Arrival {
  at: number
  entry: number
}

/** An endpoint that advertises a rate in its answers from some time on. */
export class LimitedWorker {
  /** Requests per second; undefined where it advertises none. */
  perSecond: number | undefined
  namedAt = Infinity
  /** The rates that it has advertised, the newest last. */
  private readonly rates: { perSecond: number | undefined; from: number }[] = []
  readonly arrivals: Arrival[] = []
  /** When each entry first forwarded an answer that advertises a rate. */
  readonly informedAt = new Map<number, number>()

  /** Advertises a rate from now on; undefined withdraws it. */
  announceRate(perSecond: number | undefined, now: number): void {
    this.perSecond = perSecond
    this.rates.push({ perSecond, from: now })
    if (this.namedAt === Infinity) this.namedAt = now
  }

  /**
   * Returns by how many requests it got more in a window than the highest rate of that window allows, the worst of all
   * windows, from informed entries; 0 where the limit was kept.
   */
  worstExcess(): number {
    const from = this.namedAt + BINDS_AFTER_MS
    const fromInformed = this.arrivals.filter(
      ({ at, entry }) => at >= (this.informedAt.get(entry) ?? Infinity) + INFORMED_AFTER_MS,
    )
    const excesses = fromInformed
      .filter(({ at: end }) => end >= from)
      .map(
        ({ at: end }) =>
          fromInformed.filter(({ at }) => at <= end && at > end - WINDOW_MS).length - this.allowed(end),
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

  /** Returns the arrivals per second within a span, from all entries. */
  rateWithin(from: number, until: number): number {
    return (this.arrivals.filter(({ at }) => at >= from && at < until).length * 1_000) / (until - from)
  }
}

/** Simulates entries on one clock, with plain endpoints that answer after a while and advertise rates. */
export class LimitHarness extends PlainHarness {
  readonly workers: LimitedWorker[] = []
  /** Entries that cannot reach the leader. */
  readonly cutOff = new Set<number>()
  /** Undefined while there is no leader. */
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

  /** Lets an endpoint advertise a rate from now on; undefined withdraws it. */
  announceRate(index: number, perSecond: number | undefined): void {
    this.workers[index]!.announceRate(perSecond, this.clock.now())
  }

  /** Returns the parts of an entry that limit it to the rates that endpoints advertise. */
  protected override partsOf(index: number): Partial<RelayParts> {
    const { clock, random } = this
    const rates = new RateTable({ clock, logger: createSilentLogger() })
    const permitClient = new PermitClient({
      entry: `e${index}`,
      clock,
      rates,
      report: (report) => this.report(index, report),
      leader: () => 'leader',
      reportEveryMs: REPORT_MS,
    })
    permitClient.start()
    const tolerance = { windowMs: WINDOW_MS, over: MAX_SHARE - 1, slack: MAX_SLACK }
    const limiter = new EndpointRateLimiter({
      clock,
      random,
      rates,
      permits: permitClient,
      tolerance,
      entries: () => this.entryCount,
    })
    every(clock, 1_000, () => limiter.sweep(() => true))
    return { rates, limits: limiter }
  }

  /** Elects a new leader, which knows neither the permits of the previous one nor any rates. */
  elect(): void {
    this.term += 1
    const { clock, term } = this
    const rates = new RateTable({ clock, logger: createSilentLogger() })
    this.leader = new PermitAllocator({ clock, rates, term: () => term })
  }

  /** Returns the leader's answer after some milliseconds; none where the leader is gone or the entry is cut off. */
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
      if (one.perSecond !== undefined && !one.informedAt.has(entry))
        one.informedAt.set(entry, this.clock.now())
      const rows = one.perSecond === undefined ? [] : [`x-takes: ${one.perSecond}`]
      return goodAnswer(request, 'hello', rows)
    }
    return { inMs: WORK_MS, answer }
  }
}

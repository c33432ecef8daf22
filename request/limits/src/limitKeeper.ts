import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { PERMIT_MS, type LimitAnswer, type LimitReport } from './limitTypes'
import { PermitStock } from './permitStock'
import type { RateBook } from './rateBook'

/** Options of {@link LimitKeeper}. */
export interface LimitKeeperOptions {
  entry: string
  clock: Clock
  book: RateBook
  /** Tells the leader; undefined where it did not answer in time. */
  report: (report: LimitReport) => Promise<LimitAnswer | undefined>
  /** The machine that leads, as far as it is known. */
  leader: () => string | undefined
  reportEveryMs: Millis
}

const LOOK_EVERY_MS: Millis = 50
/**
 * A request without a permit has the leader asked at once. Where it had fewer than were wanted, another report is as likely
 * to bring one as any other entry's: it is asked again after this time.
 */
const AGAIN_IF_SHORT_MS: Millis = 250
/** A leader that has not answered for so long, two reports, counts as out of reach. */
const HEARD_FOR_MS: Millis = 1_000

/** Keeps an entry in permits for endpoints that name rates: tells the leader what it hears, and what it could send. */
export class LimitKeeper {
  private readonly stock = new PermitStock()
  /** Requests since the last report that could have gone to an endpoint. */
  private wanted = new Map<InstanceId, number>()
  private stockedAt: Millis = -Infinity
  private reportedAt: Millis = -Infinity
  private heardAt: Millis = -Infinity
  /** What the book had counted as news at the last report. */
  private reportedNews = 0
  private isReporting = false
  /** Whether the leader had fewer permits than were wanted. */
  private isShort = false
  private cancelLook: CancelTimer = () => undefined

  constructor(private readonly options: LimitKeeperOptions) {}

  start(): void {
    this.cancelLook = every(this.options.clock, LOOK_EVERY_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelLook()
  }

  /** When the leader was asked whose word came last; -Infinity where none came. */
  get ledAt(): Millis {
    return this.heardAt
  }

  /** Whether the leader's permits are what counts; otherwise this entry is alone. */
  isLed(): boolean {
    const { clock } = this.options
    return clock.now() - this.heardAt < HEARD_FOR_MS && this.heardAt >= clock.suspendedAt()
  }

  /** A request could go to an endpoint that names a rate. */
  want(id: InstanceId): void {
    this.wanted.set(id, (this.wanted.get(id) ?? 0) + 1)
    if (!this.hasPermit(id)) this.reportSoon()
  }

  hasPermit(id: InstanceId): boolean {
    return this.permits().count(id, this.options.clock.now()) > 0
  }

  /** Uses a permit; says whether there was one. */
  usePermit(id: InstanceId): boolean {
    return this.permits().use(id, this.options.clock.now())
  }

  private permits(): PermitStock {
    if (this.stockedAt < this.options.clock.suspendedAt()) this.stock.clear()
    return this.stock
  }

  private reportSoon(): void {
    const isTooSoon = this.isShort && this.options.clock.now() - this.reportedAt < AGAIN_IF_SHORT_MS
    if (!isTooSoon) void this.report()
  }

  /** Whether a request since the last report lacks a permit. */
  private isUnmet(): boolean {
    return [...this.wanted.keys()].some((id) => !this.hasPermit(id))
  }

  private reportIfDue(): void {
    const { clock, book, reportEveryMs } = this.options
    // Whoever places model requests counts none of them until it has heard.
    const isDue = book.news !== this.reportedNews || clock.now() - this.reportedAt >= reportEveryMs
    if (isDue) void this.report()
    else if (this.isUnmet()) this.reportSoon()
  }

  /** Tells the leader of all endpoints that have spoken of a rate lately. Never rejects. */
  private async report(): Promise<void> {
    const { clock, book, leader, entry, report } = this.options
    if (this.isReporting || leader() === undefined) return
    const ids = book.spoken
    if (ids.length === 0) return
    const askedAt = clock.now()
    this.isReporting = true
    this.reportedAt = askedAt
    this.reportedNews = book.news
    const rows = ids.map((id) => [id, { word: book.wordOf(id)!, ...this.needOf(id, askedAt) }] as const)
    this.wanted = new Map()
    const answer = await report({ entry, endpoints: Object.fromEntries(rows) }).finally(
      () => (this.isReporting = false),
    )
    const { grants } = answer ?? {}
    if (grants === undefined) return
    this.isShort = rows.some(([id, { wanted }]) => (grants[id]?.permits ?? 0) < wanted)
    this.take(grants, askedAt)
    if (this.isUnmet()) this.reportSoon()
  }

  /** What was asked for lately will be so until the next report; what is there already is not needed again. */
  private needOf(id: InstanceId, now: Millis): { wanted: number; returned: number } {
    const returned = this.permits().takeLapsed(id, now)
    const wanted = (this.wanted.get(id) ?? 0) - this.permits().count(id, now)
    return { wanted: Math.max(0, wanted), returned }
  }

  private take(grants: NonNullable<LimitAnswer['grants']>, askedAt: Millis): void {
    const { clock, book } = this.options
    for (const [id, { word }] of Object.entries(grants)) book.take(id, word)
    // What was promised before a suspension may have run out meanwhile.
    if (askedAt < clock.suspendedAt()) return
    this.heardAt = askedAt
    const stock = this.permits()
    this.stockedAt = askedAt
    for (const [id, { permits }] of Object.entries(grants)) stock.add(id, permits, askedAt + PERMIT_MS)
  }
}

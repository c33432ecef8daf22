import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { PERMIT_LIFETIME_MS, type LimitAnswer, type LimitReport } from './limitTypes'
import { PermitPool } from './permitPool'
import type { RateTable } from './rateTable'

/** Options of {@link PermitClient}. */
export interface PermitClientOptions {
  entry: string
  clock: Clock
  rates: RateTable
  /** Tells the leader; undefined where it did not answer in time. */
  report: (report: LimitReport) => Promise<LimitAnswer | undefined>
  /** The machine that leads, as far as it is known. */
  leader: () => string | undefined
  reportEveryMs: Millis
}

const REPORT_CHECK_MS: Millis = 50
/**
 * A request without a permit has the leader asked at once. Where it had fewer than were wanted, another report is as likely
 * to bring one as any other entry's: it is asked again after this time.
 */
const SHORTAGE_RETRY_MS: Millis = 250
/** A leader that has not answered for so long, two reports, counts as out of reach. */
const LEADER_TIMEOUT_MS: Millis = 1_000

/** Keeps an entry in permits for endpoints that name rates: tells the leader what it hears, and what it could send. */
export class PermitClient {
  private readonly pool = new PermitPool()
  /** Requests since the last report that could have gone to an endpoint. */
  private wanted = new Map<InstanceId, number>()
  private poolFilledAt: Millis = -Infinity
  private reportedAt: Millis = -Infinity
  private contactAt: Millis = -Infinity
  /** What the book had counted as news at the last report. */
  private reportedChangeCount = 0
  private isReporting = false
  /** Whether the leader had fewer permits than were wanted. */
  private hasShortage = false
  private cancelReportCheck: CancelTimer = () => undefined

  constructor(private readonly options: PermitClientOptions) {}

  start(): void {
    this.cancelReportCheck = every(this.options.clock, REPORT_CHECK_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelReportCheck()
  }

  /** When the leader was asked whose word came last; -Infinity where none came. */
  get leaderContactAt(): Millis {
    return this.contactAt
  }

  /** Whether the leader's permits are what counts; otherwise this entry is alone. */
  isLeaderReachable(): boolean {
    const { clock } = this.options
    return clock.now() - this.contactAt < LEADER_TIMEOUT_MS && this.contactAt >= clock.suspendedAt()
  }

  /** A request could go to an endpoint that names a rate. */
  recordDemand(id: InstanceId): void {
    this.wanted.set(id, (this.wanted.get(id) ?? 0) + 1)
    if (!this.hasPermit(id)) this.reportSoon()
  }

  hasPermit(id: InstanceId): boolean {
    return this.currentPool().count(id, this.options.clock.now()) > 0
  }

  /** Uses a permit; says whether there was one. */
  usePermit(id: InstanceId): boolean {
    return this.currentPool().use(id, this.options.clock.now())
  }

  private currentPool(): PermitPool {
    if (this.poolFilledAt < this.options.clock.suspendedAt()) this.pool.clear()
    return this.pool
  }

  private reportSoon(): void {
    const isTooSoon = this.hasShortage && this.options.clock.now() - this.reportedAt < SHORTAGE_RETRY_MS
    if (!isTooSoon) void this.report()
  }

  /** Whether a request since the last report lacks a permit. */
  private hasUnmetDemand(): boolean {
    return [...this.wanted.keys()].some((id) => !this.hasPermit(id))
  }

  private reportIfDue(): void {
    const { clock, rates, reportEveryMs } = this.options
    // Whoever places model requests counts none of them until it has heard.
    const isDue =
      rates.changeCount !== this.reportedChangeCount || clock.now() - this.reportedAt >= reportEveryMs
    if (isDue) void this.report()
    else if (this.hasUnmetDemand()) this.reportSoon()
  }

  /** Tells the leader of all endpoints that have spoken of a rate lately. Never rejects. */
  private async report(): Promise<void> {
    const { clock, rates, leader, entry, report } = this.options
    if (this.isReporting || leader() === undefined) return
    const ids = rates.knownEndpoints
    if (ids.length === 0) return
    const askedAt = clock.now()
    this.isReporting = true
    this.reportedAt = askedAt
    this.reportedChangeCount = rates.changeCount
    const rows = ids.map(
      (id) => [id, { word: rates.advertisedRateOf(id)!, ...this.demandOf(id, askedAt) }] as const,
    )
    this.wanted = new Map()
    const answer = await report({ entry, endpoints: Object.fromEntries(rows) }).finally(
      () => (this.isReporting = false),
    )
    const { grants } = answer ?? {}
    if (grants === undefined) return
    this.hasShortage = rows.some(([id, { wanted }]) => (grants[id]?.permits ?? 0) < wanted)
    this.applyGrants(grants, askedAt)
    if (this.hasUnmetDemand()) this.reportSoon()
  }

  /** What was asked for lately will be so until the next report; what is there already is not needed again. */
  private demandOf(id: InstanceId, now: Millis): { wanted: number; returned: number } {
    const returned = this.currentPool().takeExpired(id, now)
    const wanted = (this.wanted.get(id) ?? 0) - this.currentPool().count(id, now)
    return { wanted: Math.max(0, wanted), returned }
  }

  private applyGrants(grants: NonNullable<LimitAnswer['grants']>, askedAt: Millis): void {
    const { clock, rates } = this.options
    for (const [id, { word }] of Object.entries(grants)) rates.merge(id, word)
    // What was promised before a suspension may have run out meanwhile.
    if (askedAt < clock.suspendedAt()) return
    this.contactAt = askedAt
    const pool = this.currentPool()
    this.poolFilledAt = askedAt
    for (const [id, { permits }] of Object.entries(grants))
      pool.add(id, permits, askedAt + PERMIT_LIFETIME_MS)
  }
}

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
  /** Sends a report to the leader; resolves to undefined if the leader does not answer in time. */
  report: (report: LimitReport) => Promise<LimitAnswer | undefined>
  /** The current leader, as far as it is known. */
  leader: () => string | undefined
  reportEveryMs: Millis
}

const REPORT_CHECK_MS: Millis = 50
/**
 * A request without a permit triggers a report at once. If the leader granted fewer permits than were wanted, any
 * entry's next report may get the next one, so this entry waits this long before it reports again.
 */
const SHORTAGE_RETRY_MS: Millis = 250
/** The leader counts as unreachable after this time without an answer: two reports. */
const LEADER_TIMEOUT_MS: Millis = 1_000

/**
 * Obtains permits for endpoints that advertise rates: reports the advertised rates and the entry's demand to the
 * leader, and holds the permits that it grants.
 */
export class PermitClient {
  private readonly pool = new PermitPool()
  /** Requests since the last report that could have been sent to each endpoint. */
  private wanted = new Map<InstanceId, number>()
  private poolFilledAt: Millis = -Infinity
  private reportedAt: Millis = -Infinity
  private contactAt: Millis = -Infinity
  /** The rate table's change count at the last report. */
  private reportedChangeCount = 0
  private isReporting = false
  /** Whether the leader last granted fewer permits than were wanted. */
  private hasShortage = false
  private cancelReportCheck: CancelTimer = () => undefined

  constructor(private readonly options: PermitClientOptions) {}

  start(): void {
    this.cancelReportCheck = every(this.options.clock, REPORT_CHECK_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelReportCheck()
  }

  /** When the last report that the leader answered was sent; -Infinity if none was. */
  get leaderContactAt(): Millis {
    return this.contactAt
  }

  /** Whether the leader has answered recently, so that only its permits count. */
  isLeaderReachable(): boolean {
    const { clock } = this.options
    return clock.now() - this.contactAt < LEADER_TIMEOUT_MS && this.contactAt >= clock.suspendedAt()
  }

  /** Records that a request could be sent to an endpoint that advertises a rate. */
  recordDemand(id: InstanceId): void {
    this.wanted.set(id, (this.wanted.get(id) ?? 0) + 1)
    if (!this.hasPermit(id)) this.reportSoon()
  }

  hasPermit(id: InstanceId): boolean {
    return this.currentPool().count(id, this.options.clock.now()) > 0
  }

  /** Uses a permit. Returns a function that gives it back; undefined if there was none. */
  usePermit(id: InstanceId): (() => void) | undefined {
    const untilMs = this.currentPool().use(id, this.options.clock.now())
    return untilMs === undefined ? undefined : () => this.currentPool().giveBack(id, untilMs)
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
    // The leader does not count the model requests that it places there until it knows the rate.
    const isDue =
      rates.changeCount !== this.reportedChangeCount || clock.now() - this.reportedAt >= reportEveryMs
    if (isDue) void this.report()
    else if (this.hasUnmetDemand()) this.reportSoon()
  }

  /** Reports all endpoints that advertise a rate, or did so recently, to the leader. Never rejects. */
  private async report(): Promise<void> {
    const { clock, rates, leader, entry, report } = this.options
    if (this.isReporting || leader() === undefined) return
    const ids = rates.knownEndpoints
    if (ids.length === 0) return
    const askedAt = clock.now()
    this.reportedAt = askedAt
    this.reportedChangeCount = rates.changeCount
    const rows = ids.map(
      (id) => [id, { word: rates.advertisedRateOf(id)!, ...this.demandOf(id, askedAt) }] as const,
    )
    this.wanted = new Map()
    this.isReporting = true
    const answer = await report({ entry, endpoints: Object.fromEntries(rows) }).finally(
      () => (this.isReporting = false),
    )
    const { grants } = answer ?? {}
    if (grants === undefined) return
    this.hasShortage = rows.some(([id, { wanted }]) => (grants[id]?.permits ?? 0) < wanted)
    this.applyGrants(grants, askedAt)
    if (this.hasUnmetDemand()) this.reportSoon()
  }

  /**
   * Returns the permits to ask for and those to return. Demand since the last report predicts the demand until the next
   * one; permits already held are subtracted.
   */
  private demandOf(id: InstanceId, now: Millis): { wanted: number; returned: number } {
    const returned = this.currentPool().takeExpired(id, now)
    const wanted = (this.wanted.get(id) ?? 0) - this.currentPool().count(id, now)
    return { wanted: Math.max(0, wanted), returned }
  }

  private applyGrants(grants: NonNullable<LimitAnswer['grants']>, askedAt: Millis): void {
    const { clock, rates } = this.options
    for (const [id, { word }] of Object.entries(grants)) rates.merge(id, word)
    // Permits granted before a suspension may have expired during it.
    if (askedAt < clock.suspendedAt()) return
    this.contactAt = askedAt
    const pool = this.currentPool()
    this.poolFilledAt = askedAt
    for (const [id, { permits }] of Object.entries(grants))
      pool.add(id, permits, askedAt + PERMIT_LIFETIME_MS)
  }
}

import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** The rate that an endpoint last advertised, with its age instead of a time, so that clocks are not compared. */
export interface AdvertisedRate {
  /** Requests per second from all machines together; null once it advertises none. */
  perSecond: number | null
  ageMs: Millis
}

/** Options of {@link RateTable}. */
export interface RateTableOptions {
  clock: Clock
  logger: Logger
}

/**
 * An endpoint with a rate of 0 gets no request in whose response it could raise the rate. After this time without news
 * it gets one request per interval from all machines together; the machine that receives the response reports it within
 * a second.
 */
const PROBE_INTERVAL_MS: Millis = 30_000
const SECOND_MS = 1_000
/** How long the withdrawal of a rate is still reported to other machines. */
const WITHDRAWN_RETENTION_MS: Millis = 30_000
/** Smaller relative changes of a rate are neither logged nor counted as changes. */
const MIN_CHANGE_SHARE = 0.1

/** An advertised rate with its time by this machine's clock. */
interface StoredRate {
  perSecond: number | null
  at: Millis
}

/**
 * The rates that endpoints advertise, as known to this machine. The newest value wins, whichever machine received it.
 */
export class RateTable {
  private readonly rates = new Map<InstanceId, StoredRate>()
  /** Counts rates that are first advertised, change by more than {@link MIN_CHANGE_SHARE} or are withdrawn. */
  changeCount = 0

  constructor(private readonly options: RateTableOptions) {}

  /**
   * Records the rate in a response that has just arrived.
   * @param perSecond undefined where the response advertises none.
   */
  recordAnswer(id: InstanceId, perSecond: number | undefined): void {
    // No entry is created for endpoints that never advertised a rate.
    if (perSecond === undefined && !this.rates.has(id)) return
    this.store(id, { perSecond: perSecond ?? null, at: this.options.clock.now() }, 'answer')
  }

  /** Merges a rate that another machine reports, if it is newer. */
  merge(id: InstanceId, { perSecond, ageMs }: AdvertisedRate): void {
    const at = this.options.clock.now() - ageMs
    const known = this.rates.get(id)
    if (known !== undefined && known.at >= at) return
    if (known === undefined && perSecond === null) return
    this.store(id, { perSecond, at }, 'machine')
  }

  /** Returns the requests per second that an endpoint accepts from all machines; undefined if it advertises no rate. */
  rateOf(id: InstanceId): number | undefined {
    const stored = this.rates.get(id)
    if (stored === undefined || stored.perSecond === null) return undefined
    const isOld = this.options.clock.now() - stored.at >= PROBE_INTERVAL_MS
    return isOld ? Math.max(stored.perSecond, SECOND_MS / PROBE_INTERVAL_MS) : stored.perSecond
  }

  /** Returns the newest value for an endpoint, including a recent withdrawal; undefined if there is none. */
  advertisedRateOf(id: InstanceId): AdvertisedRate | undefined {
    const stored = this.rates.get(id)
    return stored && { perSecond: stored.perSecond, ageMs: this.options.clock.now() - stored.at }
  }

  /** The endpoints for which {@link advertisedRateOf} returns a value. */
  get knownEndpoints(): InstanceId[] {
    return [...this.rates.keys()]
  }

  /** The number of endpoints that advertise a rate. */
  get count(): number {
    return [...this.rates.keys()].filter((id) => this.rateOf(id) !== undefined).length
  }

  /** Drops endpoints that are no longer registered, and old withdrawals. Called periodically. */
  sweep(isRegistered: (id: InstanceId) => boolean): void {
    const since = this.options.clock.now() - WITHDRAWN_RETENTION_MS
    for (const [id, { perSecond, at }] of this.rates)
      if (!isRegistered(id) || (perSecond === null && at <= since)) this.rates.delete(id)
  }

  private store(id: InstanceId, stored: StoredRate, by: 'answer' | 'machine'): void {
    const before = this.rates.get(id)
    this.rates.set(id, stored)
    const outcome = outcomeOf(before?.perSecond ?? null, stored.perSecond)
    if (outcome === undefined) return
    this.changeCount += 1
    this.log(id, outcome, stored, before, by)
  }

  private log(
    endpoint: InstanceId,
    outcome: 'named' | 'changed' | 'withdrawn',
    { perSecond, at }: StoredRate,
    before: StoredRate | undefined,
    by: 'answer' | 'machine',
  ): void {
    this.options.logger.info('endpoint.rate', {
      endpoint,
      outcome,
      perSecond: perSecond ?? undefined,
      before: before?.perSecond ?? undefined,
      by,
      ageMs: Math.round(this.options.clock.now() - at),
    })
  }
}

function outcomeOf(before: number | null, now: number | null): 'named' | 'changed' | 'withdrawn' | undefined {
  if (before === null) return now === null ? undefined : 'named'
  if (now === null) return 'withdrawn'
  return Math.abs(now - before) > before * MIN_CHANGE_SHARE ? 'changed' : undefined
}

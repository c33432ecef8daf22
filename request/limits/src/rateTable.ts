import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** What an endpoint said last of the rate that it takes, with its age, so that no clocks are compared. */
export interface AdvertisedRate {
  /** Requests a second from all machines together; null where it names none any more. */
  perSecond: number | null
  ageMs: Millis
}

/** Options of {@link RateTable}. */
export interface RateTableOptions {
  clock: Clock
  logger: Logger
}

/**
 * One that takes nothing cannot say that it is well again. Where nobody has heard it for so long, it gets one request in the
 * same time from all machines together; whoever hears the answer tells the others within a second.
 */
const PROBE_INTERVAL_MS: Millis = 30_000
const SECOND_MS = 1_000
/** For so long it is passed on that a rate was taken back. */
const WITHDRAWN_RETENTION_MS: Millis = 30_000
/** Rates that move by less are no news in the log. */
const MIN_CHANGE_SHARE = 0.1

/** What was said, by this machine's clock. */
interface StoredRate {
  perSecond: number | null
  at: Millis
}

/** The rates that endpoints name, as this machine believes them: the newest word counts, whoever heard it. */
export class RateTable {
  private readonly rates = new Map<InstanceId, StoredRate>()
  /** Counts what is news: a rate that is named, moves by more than a little or is taken back. */
  changeCount = 0

  constructor(private readonly options: RateTableOptions) {}

  /** Takes what an answer that has just come says; undefined where it names no rate. */
  recordAnswer(id: InstanceId, perSecond: number | undefined): void {
    // Nothing is kept of endpoints that never named one.
    if (perSecond === undefined && !this.rates.has(id)) return
    this.store(id, { perSecond: perSecond ?? null, at: this.options.clock.now() }, 'answer')
  }

  /** Takes another machine's word, where it is the newer one. */
  merge(id: InstanceId, { perSecond, ageMs }: AdvertisedRate): void {
    const at = this.options.clock.now() - ageMs
    const known = this.rates.get(id)
    if (known !== undefined && known.at >= at) return
    if (known === undefined && perSecond === null) return
    this.store(id, { perSecond, at }, 'machine')
  }

  /** Requests a second that an endpoint takes from all machines; undefined where it names no rate. */
  rateOf(id: InstanceId): number | undefined {
    const stored = this.rates.get(id)
    if (stored === undefined || stored.perSecond === null) return undefined
    const isOld = this.options.clock.now() - stored.at >= PROBE_INTERVAL_MS
    return isOld ? Math.max(stored.perSecond, SECOND_MS / PROBE_INTERVAL_MS) : stored.perSecond
  }

  /** The newest word of an endpoint that has spoken of a rate, also of one that has taken it back lately. */
  advertisedRateOf(id: InstanceId): AdvertisedRate | undefined {
    const stored = this.rates.get(id)
    return stored && { perSecond: stored.perSecond, ageMs: this.options.clock.now() - stored.at }
  }

  /** The endpoints of which there is such a word. */
  get knownEndpoints(): InstanceId[] {
    return [...this.rates.keys()]
  }

  /** How many endpoints name a rate. */
  get count(): number {
    return [...this.rates.keys()].filter((id) => this.rateOf(id) !== undefined).length
  }

  /** Forgets endpoints that are not registered any more, and what was taken back long ago. Called again and again. */
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

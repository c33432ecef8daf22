import type { Random } from '@forkstage/clock'
import { DecayingSum, WindowSum } from '@forkstage/rates'
import type { Millis } from '@forkstage/types'
import type { QuotaGrant, SpentReport } from './quotaTypes'

/** Options of {@link QuotaAccount}. */
export interface QuotaAccountOptions {
  /** The incarnation of the entry. */
  life: string
  windowMs: Millis
  random: Random
  /** When this machine was last suspended, if ever. */
  suspendedAt: () => Millis
}

/** The current rate of requests is averaged over about one report interval, demand over several seconds. */
const ASKED_AVERAGING_MS = 500
const DEMAND_AVERAGING_MS = 4_000
/** A grant covers all that is left, so it is valid only until the next one is due, plus some network delay. */
const GRANT_VALID_MS = 700
/** The least that an entry with an expired grant uses, even if it served nothing before, as a part of an even share. */
const MIN_SHARE_OF_EVEN = 0.1
/** The part of an even share that an entry uses before its first grant, since many may be in the same state. */
const NO_GRANT_SHARE_OF_EVEN = 0.25
const SECOND_MS = 1_000

/** The leader's last grant. */
interface StoredGrant extends QuotaGrant {
  at: Millis
  /** When the report was made that the grant answers. */
  askedAt: Millis
  /** What this entry had spent in all, and within the window, when it reported. */
  ownTotal: number
  ownRecent: number
  /** Random number from 0 to 1 for all requests until the next grant; see {@link QuotaAccount.isEnough}. */
  draw: number
}

/** What one entry may still admit. */
export interface RemainingQuota {
  units: number
  /** This entry's share of the whole quota, from 0 to 1. */
  share: number
}

/** One entry's account of one workspace's quota: its own spending, and what the leader granted. */
export class QuotaAccount {
  private total = 0
  private readonly recent: WindowSum
  private readonly asked = new DecayingSum(ASKED_AVERAGING_MS)
  private readonly demand = new DecayingSum(DEMAND_AVERAGING_MS)
  private readonly firstDraw: number
  private granted: StoredGrant | undefined
  /** The limit in force, in units a window. */
  private limit = 0
  usedAt: Millis

  constructor(
    private readonly options: QuotaAccountOptions,
    now: Millis,
  ) {
    this.recent = new WindowSum(options.windowMs)
    this.firstDraw = options.random()
    this.usedAt = now
  }

  /** Whether the leader's last grant is still valid. */
  isFresh(now: Millis): boolean {
    const { granted } = this
    if (granted === undefined || now - granted.at >= GRANT_VALID_MS) return false
    return granted.askedAt >= this.options.suspendedAt()
  }

  /** The age of the leader's last grant in milliseconds; Infinity before the first. */
  grantAgeMs(now: Millis): Millis {
    return this.granted === undefined ? Infinity : now - this.granted.at
  }

  /** Records units that callers request, admitted or not. */
  recordDemand(units: number, now: Millis): void {
    this.usedAt = now
    this.asked.add(units, now)
    this.demand.add(units, now)
  }

  /** Spends units, or refunds them if they are below 0. */
  spend(units: number, now: Millis): void {
    this.total += units
    this.recent.add(units, now)
  }

  /**
   * Sets the limit in force. A lower limit cannot apply to the past: what was spent under the earlier limit is scaled
   * down in proportion, so that no window holds more than the higher of the two allows.
   */
  setLimit(limit: number): void {
    if (limit < this.limit) this.recent.scale(limit / this.limit)
    if (limit !== this.limit) this.granted = undefined
    this.limit = limit
  }

  /** Returns this entry's report on the workspace. */
  report(now: Millis): SpentReport {
    return {
      life: this.options.life,
      recent: Math.max(0, this.recent.total(now)),
      askedPerSecond: Math.round((this.asked.total(now) / ASKED_AVERAGING_MS) * SECOND_MS),
      demandPerSecond: Math.round((this.demand.total(now) / DEMAND_AVERAGING_MS) * SECOND_MS),
    }
  }

  /** All units spent so far; read when a report is made, and passed to {@link applyGrant} with the answer. */
  get totalSpent(): number {
    return this.total
  }

  /** Applies the leader's answer to a report. */
  applyGrant(
    grant: QuotaGrant,
    { recent }: SpentReport,
    ownTotal: number,
    askedAt: Millis,
    now: Millis,
  ): void {
    this.granted = { ...grant, at: now, askedAt, ownTotal, ownRecent: recent, draw: this.options.random() }
  }

  /**
   * Whether a request may spend its units where `remaining` ones are left. A remainder smaller than the request is
   * overdrawn with a probability of `remaining / units`. The random number is kept until the next grant: if it were
   * drawn for each request, one of many requests would always overdraw, at every entry.
   */
  isEnough(remaining: number, units: number): boolean {
    return remaining > units * (this.granted?.draw ?? this.firstDraw)
  }

  /** Units that this entry may spend now. */
  remaining(entries: number, now: Millis): RemainingQuota {
    const { granted } = this
    if (granted === undefined || !this.isFresh(now)) return this.remainingWithoutLeader(entries, now)
    return { units: granted.units - (this.total - granted.ownTotal), share: granted.share }
  }

  /**
   * Without a valid grant, an entry spends its share of what was left at the last one, and what has left its own window
   * since then, so that the total of all entries does not rise. Before the first grant it keeps to an even share.
   */
  private remainingWithoutLeader(entries: number, now: Millis): RemainingQuota {
    const evenShare = 1 / Math.max(1, entries)
    const recent = this.recent.total(now)
    const { granted } = this
    if (granted === undefined)
      return { units: this.limit * evenShare * NO_GRANT_SHARE_OF_EVEN - recent, share: evenShare }
    const share = Math.max(granted.share, evenShare * MIN_SHARE_OF_EVEN)
    return { units: granted.units * share + granted.ownRecent - recent, share }
  }
}

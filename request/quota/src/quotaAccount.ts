import type { Random } from '@forkstage/clock'
import { FadingSum, WindowSum } from '@forkstage/rates'
import type { Millis } from '@forkstage/types'
import type { QuotaGrant, SpentReport } from './quotaTypes'

/** Options of {@link QuotaAccount}. */
export interface QuotaAccountOptions {
  /** Names this life of the entry. */
  life: string
  windowMs: Millis
  random: Random
  /** When this machine was last suspended, if ever. */
  suspendedAt: () => Millis
}

/** What is asked at the moment is averaged over about this time, one report; demand over several seconds. */
const ASKED_AVERAGING_MS = 500
const DEMAND_AVERAGING_MS = 4_000
/** A grant is of all that is left, so that it holds only until the next word is due, with some time for its way. */
const GRANT_VALID_MS = 700
/** An entry alone that had served nothing of a workspace still lets a little through: this much of an even part. */
const MIN_SHARE_OF_EVEN = 0.1
/** Alone an entry that never heard of the others uses this much of an even part: many may be in the same place. */
const NO_GRANT_SHARE_OF_EVEN = 0.25
const SECOND_MS = 1_000

/** What the leader granted last. */
interface StoredGrant extends QuotaGrant {
  at: Millis
  /** When it was asked for. */
  askedAt: Millis
  /** What this entry had spent in all, and within the window, when it reported. */
  ownTotal: number
  ownRecent: number
  /** Drawn once for all requests until the leader's next word, from 0 to 1. */
  draw: number
}

/** What one entry may still let through. */
export interface RemainingQuota {
  units: number
  /** This entry's part of the whole quota, from 0 to 1. */
  share: number
}

/** What one entry knows of one workspace's quota: its own spending, and what the leader granted it. */
export class QuotaAccount {
  private total = 0
  private readonly recent: WindowSum
  private readonly asked = new FadingSum(ASKED_AVERAGING_MS)
  private readonly demand = new FadingSum(DEMAND_AVERAGING_MS)
  private readonly firstDraw: number
  private granted: StoredGrant | undefined
  /** The limit that held last. */
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

  /** Whether the leader has said lately what is left. */
  isFresh(now: Millis): boolean {
    const { granted } = this
    if (granted === undefined || now - granted.at >= GRANT_VALID_MS) return false
    return granted.askedAt >= this.options.suspendedAt()
  }

  /** The age of what the leader said last; Infinity where it never did. */
  grantAgeMs(now: Millis): Millis {
    return this.granted === undefined ? Infinity : now - this.granted.at
  }

  recordDemand(units: number, now: Millis): void {
    this.usedAt = now
    this.asked.add(units, now)
    this.demand.add(units, now)
  }

  /** Spends units, or gives them back where they are below 0. */
  spend(units: number, now: Millis): void {
    this.total += units
    this.recent.add(units, now)
  }

  /**
   * Takes the limit in force. A lower one cannot bind what is past: of what was spent under the one before counts what
   * is the same part of the lower one, so that no window holds more than the higher of the two allows.
   */
  setLimit(limit: number): void {
    if (limit < this.limit) this.recent.scale(limit / this.limit)
    if (limit !== this.limit) this.granted = undefined
    this.limit = limit
  }

  report(now: Millis): SpentReport {
    return {
      life: this.options.life,
      recent: Math.max(0, this.recent.total(now)),
      askedPerSecond: Math.round((this.asked.total(now) / ASKED_AVERAGING_MS) * SECOND_MS),
      demandPerSecond: Math.round((this.demand.total(now) / DEMAND_AVERAGING_MS) * SECOND_MS),
    }
  }

  /** What is spent in all; to be read when a report is made, and given to {@link applyGrant} with its answer. */
  get totalSpent(): number {
    return this.total
  }

  /** Takes what the leader answered to a report. */
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
   * Whether a request may go on where so many units are left. A rest that is smaller than the request is overdrawn as
   * often as it would pay for one. The draw holds until the leader's next word: drawn for each request anew, one of
   * many would always overdraw, at every entry.
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
   * An entry that does not hear the leader spends its part of what was left at the last word, and what has left its own
   * window since then, so that all entries together stay where they were. One that never heard keeps to an even part.
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

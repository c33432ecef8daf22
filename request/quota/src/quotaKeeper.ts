import { every, type CancelTimer, type Clock, type Random } from '@forkstage/clock'
import type { KnownWorkspace } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { QuotaAccount } from './quotaAccount'
import { quotaLimit } from './quotaLimit'
import type { QuotaAnswer, QuotaReport, QuotaVerdict } from './quotaTypes'

/** Options of {@link QuotaKeeper}. */
export interface QuotaKeeperOptions {
  entry: string
  /** Names this life of the process. */
  life: string
  clock: Clock
  random: Random
  /** Tells the leader; undefined where it did not answer in time. */
  report: (report: QuotaReport) => Promise<QuotaAnswer | undefined>
  /** The machine that leads, as far as it is known. */
  leader: () => string | undefined
  /** How many entries share a quota; an upper bound where it is not known. */
  entries: () => number
  /** The window that quotas are held over. */
  windowMs: Millis
  reportEveryMs: Millis
}

/** A request of a workspace that this entry has not served lately waits so long for the leader's word at most. */
const FIRST_WORD_MS = 100
const LOOK_EVERY_MS = 50
const SECOND_MS = 1_000
/** Whoever is over its quota is not told to come back sooner: something must have come back by then. */
const LEAST_RETRY_MS = 100
const MOST_RETRY_MS = 10_000

/** Decides at one entry whether a request lies within its workspace's quota, by what all entries have spent. */
export class QuotaKeeper {
  private readonly accounts = new Map<string, QuotaAccount>()
  private reportedTo: string | undefined
  private reportedAt = -Infinity
  private reporting: Promise<void> | undefined
  /** Whether the leader left the last report unanswered, so that waiting for its word is in vain. */
  private isUnheard = false
  private cancelLook: CancelTimer = () => undefined

  constructor(private readonly options: QuotaKeeperOptions) {}

  start(): void {
    this.cancelLook = every(this.options.clock, LOOK_EVERY_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelLook()
  }

  /**
   * Whether a request may go on.
   * @param units what it counts, in the unit of the workspace's quota.
   */
  async admit(workspace: KnownWorkspace, units: number): Promise<QuotaVerdict> {
    const { clock } = this.options
    const account = this.accountOf(workspace.name)
    account.setLimit(quotaLimit(workspace.quota!, this.options.windowMs))
    account.noteAsked(units, clock.now())
    const isNew = account.ageMs(clock.now()) === Infinity
    if (isNew && this.options.leader() !== undefined && !this.isUnheard) await this.hearLeader()
    return this.decide(workspace, account, units)
  }

  private decide(workspace: KnownWorkspace, account: QuotaAccount, units: number): QuotaVerdict {
    const { clock, entries, windowMs } = this.options
    const now = clock.now()
    const left = account.left(entries(), now)
    if (!account.isEnough(left.units, units)) {
      const isAlone = !account.isFresh(now)
      const perSecond = (quotaLimit(workspace.quota!, windowMs) * left.share * SECOND_MS) / windowMs
      const retryAfterMs = timeUntil(units - left.units, perSecond)
      return { type: 'over', level: left.units, ageMs: account.ageMs(now), isAlone, retryAfterMs }
    }
    account.spend(units, now)
    return { type: 'admitted', spent: { giveBack: () => account.spend(-units, clock.now()) } }
  }

  private accountOf(name: string): QuotaAccount {
    const known = this.accounts.get(name)
    if (known !== undefined) return known
    const { life, windowMs, clock, random } = this.options
    const suspendedAt = () => clock.suspendedAt()
    const account = new QuotaAccount({ life, windowMs, random, suspendedAt }, clock.now())
    this.accounts.set(name, account)
    return account
  }

  /** Asks the leader now, once for all that wait, for a short time. */
  private hearLeader(): Promise<void> {
    this.reporting ??= this.report().finally(() => (this.reporting = undefined))
    const { clock } = this.options
    return Promise.race([
      this.reporting,
      new Promise<void>((resolve) => void clock.after(FIRST_WORD_MS, resolve)),
    ])
  }

  private reportIfDue(): void {
    const { clock, leader, reportEveryMs } = this.options
    const now = clock.now()
    this.forgetUnused(now)
    const isNew = leader() !== this.reportedTo
    const isDue = this.accounts.size > 0 && now - this.reportedAt >= reportEveryMs
    if (leader() === undefined || this.reporting !== undefined || !(isNew || isDue)) return
    void this.hearLeader()
  }

  /** A workspace unused for two windows: all that it spent here has left the window, and the leader has heard of it. */
  private forgetUnused(now: Millis): void {
    for (const [name, account] of this.accounts)
      if (now - account.usedAt > this.options.windowMs * 2) this.accounts.delete(name)
  }

  private async report(): Promise<void> {
    const { clock, entry, leader, report } = this.options
    const now = clock.now()
    this.reportedTo = leader()
    this.reportedAt = now
    const reported = [...this.accounts].map(([name, account]) => {
      return { name, account, spent: account.report(now), ownTotal: account.spentInAll }
    })
    const answer = await report({
      entry,
      spent: Object.fromEntries(reported.map((one) => [one.name, one.spent])),
    })
    this.isUnheard = answer === undefined
    for (const { name, account, spent, ownTotal } of reported) {
      const grant = answer?.grants?.[name]
      if (grant !== undefined) account.take(grant, spent, ownTotal, now, clock.now())
    }
  }
}

function timeUntil(units: number, perSecond: number): Millis {
  const wait = perSecond > 0 ? (units / perSecond) * SECOND_MS : MOST_RETRY_MS
  return Math.round(Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, wait)))
}

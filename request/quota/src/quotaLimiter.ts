import { every, type CancelTimer, type Clock, type Random } from '@forkstage/clock'
import type { KnownWorkspace } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { QuotaAccount } from './quotaAccount'
import { quotaLimit } from './quotaLimit'
import type { QuotaAnswer, QuotaReport, QuotaVerdict } from './quotaTypes'

/** Options of {@link QuotaLimiter}. */
export interface QuotaLimiterOptions {
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
const FIRST_GRANT_WAIT_MS = 100
const CHECK_EVERY_MS = 50
const SECOND_MS = 1_000
/** Whoever is over its quota is not told to come back sooner: something must have come back by then. */
const MIN_RETRY_MS = 100
const MAX_RETRY_MS = 10_000

/** Decides at one entry whether a request lies within its workspace's quota, by what all entries have spent. */
export class QuotaLimiter {
  private readonly accounts = new Map<string, QuotaAccount>()
  private reportedTo: string | undefined
  private reportedAt = -Infinity
  private reporting: Promise<void> | undefined
  /** Whether the leader left the last report unanswered, so that waiting for its word is in vain. */
  private isLeaderSilent = false
  private cancelCheck: CancelTimer = () => undefined

  constructor(private readonly options: QuotaLimiterOptions) {}

  start(): void {
    this.cancelCheck = every(this.options.clock, CHECK_EVERY_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelCheck()
  }

  /**
   * Whether a request may go on.
   * @param units what it counts, in the unit of the workspace's quota.
   */
  async admit(workspace: KnownWorkspace, units: number): Promise<QuotaVerdict> {
    const { clock } = this.options
    const account = this.accountOf(workspace.name)
    account.setLimit(quotaLimit(workspace.quota!, this.options.windowMs))
    account.recordDemand(units, clock.now())
    const isNew = account.grantAgeMs(clock.now()) === Infinity
    if (isNew && this.options.leader() !== undefined && !this.isLeaderSilent) await this.requestGrants()
    return this.decide(workspace, account, units)
  }

  private decide(workspace: KnownWorkspace, account: QuotaAccount, units: number): QuotaVerdict {
    const { clock, entries, windowMs } = this.options
    const now = clock.now()
    const remaining = account.remaining(entries(), now)
    if (!account.isEnough(remaining.units, units)) {
      const isAlone = !account.isFresh(now)
      const perSecond = (quotaLimit(workspace.quota!, windowMs) * remaining.share * SECOND_MS) / windowMs
      const retryAfterMs = retryDelay(units - remaining.units, perSecond)
      return { type: 'over', level: remaining.units, ageMs: account.grantAgeMs(now), isAlone, retryAfterMs }
    }
    account.spend(units, now)
    return { type: 'admitted', spent: { refund: () => account.spend(-units, clock.now()) } }
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
  private requestGrants(): Promise<void> {
    this.reporting ??= this.report().finally(() => (this.reporting = undefined))
    const { clock } = this.options
    return Promise.race([
      this.reporting,
      new Promise<void>((resolve) => void clock.after(FIRST_GRANT_WAIT_MS, resolve)),
    ])
  }

  private reportIfDue(): void {
    const { clock, leader, reportEveryMs } = this.options
    const now = clock.now()
    this.removeUnused(now)
    const isNew = leader() !== this.reportedTo
    const isDue = this.accounts.size > 0 && now - this.reportedAt >= reportEveryMs
    if (leader() === undefined || this.reporting !== undefined || !(isNew || isDue)) return
    void this.requestGrants()
  }

  /** A workspace unused for two windows: all that it spent here has left the window, and the leader has heard of it. */
  private removeUnused(now: Millis): void {
    for (const [name, account] of this.accounts)
      if (now - account.usedAt > this.options.windowMs * 2) this.accounts.delete(name)
  }

  private async report(): Promise<void> {
    const { clock, entry, leader, report } = this.options
    const now = clock.now()
    this.reportedTo = leader()
    this.reportedAt = now
    const reported = [...this.accounts].map(([name, account]) => {
      return { name, account, spent: account.report(now), ownTotal: account.totalSpent }
    })
    const answer = await report({
      entry,
      spent: Object.fromEntries(reported.map((one) => [one.name, one.spent])),
    })
    this.isLeaderSilent = answer === undefined
    for (const { name, account, spent, ownTotal } of reported) {
      const grant = answer?.grants?.[name]
      if (grant !== undefined) account.applyGrant(grant, spent, ownTotal, now, clock.now())
    }
  }
}

function retryDelay(units: number, perSecond: number): Millis {
  const wait = perSecond > 0 ? (units / perSecond) * SECOND_MS : MAX_RETRY_MS
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wait)))
}

import { every, type CancelTimer, type Clock, type Random } from '@forkstage/clock'
import type { WorkspaceInfo } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { QuotaAccount } from './quotaAccount'
import { quotaLimit } from './quotaLimit'
import type { QuotaAnswer, QuotaReport, QuotaVerdict } from './quotaTypes'

/** Options of {@link QuotaLimiter}. */
export interface QuotaLimiterOptions {
  entry: string
  /** The incarnation of this process. */
  life: string
  clock: Clock
  random: Random
  /** Sends a report to the leader; undefined if the leader did not answer in time. */
  report: (report: QuotaReport) => Promise<QuotaAnswer | undefined>
  /** The machine that leads; undefined if none is known. */
  leader: () => string | undefined
  /** How many entries share a quota; an upper bound if the number is not known. */
  entries: () => number
  /** The window over which quotas are enforced. */
  windowMs: Millis
  reportEveryMs: Millis
}

/** The longest wait for a grant of a request whose workspace has none at this entry yet. */
const FIRST_GRANT_WAIT_MS = 100
const CHECK_EVERY_MS = 50
const SECOND_MS = 1_000
/** The shortest retry time of a request over quota, so that some quota is available again by then. */
const MIN_RETRY_MS = 100
const MAX_RETRY_MS = 10_000

/** Decides at one entry whether a request is within its workspace's quota, by what all entries have spent. */
export class QuotaLimiter {
  private readonly accounts = new Map<string, QuotaAccount>()
  private reportedTo: string | undefined
  private reportedAt = -Infinity
  private reporting: Promise<void> | undefined
  /** Whether the leader did not answer the last report, so that requests do not wait for a grant. */
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
   * Decides whether a request is within its workspace's quota, and charges it if so.
   * @param units the cost of the request, in the unit of the workspace's quota.
   */
  async admit(workspace: WorkspaceInfo, units: number): Promise<QuotaVerdict> {
    const { clock } = this.options
    const account = this.accountOf(workspace.name)
    account.setLimit(quotaLimit(workspace.quota!, this.options.windowMs))
    account.recordDemand(units, clock.now())
    const isNew = account.grantAgeMs(clock.now()) === Infinity
    if (isNew && this.options.leader() !== undefined && !this.isLeaderSilent) await this.requestGrants()
    return this.decide(workspace, account, units)
  }

  private decide(workspace: WorkspaceInfo, account: QuotaAccount, units: number): QuotaVerdict {
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

  /** Reports to the leader now, once for all waiting requests, and waits a short time for the answer. */
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

  /** Removes workspaces unused for two windows: their spending here has left the window and has been reported. */
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

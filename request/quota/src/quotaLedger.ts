import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { QuotaAnswer, QuotaGrant, QuotaReport } from './quotaTypes'
import { WorkspaceUsage } from './workspaceUsage'

/** Options of {@link QuotaLedger}. */
export interface QuotaLedgerOptions {
  clock: Clock
  /** The most that a workspace may spend within a window; undefined where it has no limit. */
  limit: (workspace: string) => number | undefined
  /** Which term this machine leads in: a new one begins with what the entries report. */
  term: () => number
  /** How many entries there are, as far as they are counted. */
  entries: () => number
  /** The window that quotas are held over. */
  windowMs: Millis
  tolerance: QuotaTolerance
}

/** How far what all entries let through together may exceed a quota, since they do not know of each other at once. */
export interface QuotaTolerance {
  /** As a share of the quota. */
  over: number
  /** Units beside that. */
  slack: number
}

/** The rest is kept for what entries that were killed or cut off have let through unheard. */
const TOLERANCE_SHARE = 0.1

/** A new leader answers once every entry has reported, or after this time: an entry may be down. */
const COLLECT_MS = 1_200
/** A machine that was cut off itself has counted few entries yet: each that serves has reported once in this time. */
const MIN_COLLECT_MS = 600
/** How often entries that are not heard are looked for, at a report. */
const SWEEP_MS = 250

/** What the entries have spent of each workspace's quota within the window, at the machine that leads. */
export class QuotaLedger {
  private term = -1
  private since: Millis = 0
  private sweptAt: Millis = -Infinity
  private usages = new Map<string, WorkspaceUsage>()
  /** When each entry was heard last. */
  private reportedAt = new Map<string, Millis>()

  constructor(private readonly options: QuotaLedgerOptions) {}

  /** Takes what an entry has spent and answers what it may spend of the workspaces that it names. */
  applyReport({ entry, spent }: QuotaReport): QuotaAnswer {
    this.renewTerm()
    const now = this.options.clock.now()
    const reports = Object.entries(spent).filter(([name]) => this.options.limit(name) !== undefined)
    for (const [name, report] of reports)
      this.usageOf(name).applyReport(entry, report, this.reportedAt.get(entry))
    this.reportedAt.set(entry, now)
    this.sweep(now)
    if (!this.hasCollected(now)) return {}
    const grants: Record<string, QuotaGrant> = {}
    for (const [name] of reports) {
      const limit = this.options.limit(name)!
      const toleratedUnits = this.toleratedUnits(limit) - limit * this.unreportedShare(now)
      grants[name] = this.usageOf(name).grant(entry, limit, toleratedUnits)
    }
    return { grants }
  }

  /** The part of the entries that a new leader has not heard: what they spent in the last window is not known. */
  private unreportedShare(now: Millis): number {
    const known = this.options.entries()
    if (known === 0 || now - this.since >= this.options.windowMs) return 0
    return Math.max(0, known - this.reportedAt.size) / known
  }

  /** Units that may be spent unheard without anything being refused for it. */
  private toleratedUnits(limit: number): number {
    const { over, slack } = this.options.tolerance
    return (limit * over + slack) * TOLERANCE_SHARE
  }

  private sweep(now: Millis): void {
    if (now - this.sweptAt < SWEEP_MS) return
    this.sweptAt = now
    for (const [name, usage] of this.usages) {
      const limit = this.options.limit(name)
      if (limit !== undefined) usage.sweep(limit, this.reportedAt, now)
      if (limit === undefined || usage.isUnused) this.usages.delete(name)
    }
  }

  private usageOf(workspace: string): WorkspaceUsage {
    const known = this.usages.get(workspace)
    if (known !== undefined) return known
    const usage = new WorkspaceUsage(this.options.windowMs)
    this.usages.set(workspace, usage)
    return usage
  }

  private hasCollected(now: Millis): boolean {
    const known = this.options.entries()
    const haveAllReported = known > 0 && this.reportedAt.size >= known
    return now - this.since >= (haveAllReported ? MIN_COLLECT_MS : COLLECT_MS)
  }

  private renewTerm(): void {
    const { term, clock } = this.options
    if (term() === this.term) return
    this.term = term()
    this.since = clock.now()
    this.usages = new Map()
    this.reportedAt = new Map()
  }
}

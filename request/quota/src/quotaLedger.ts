import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { QuotaAnswer, QuotaGrant, QuotaReport } from './quotaTypes'
import { WorkspaceUsage } from './workspaceUsage'

/** Options of {@link QuotaLedger}. */
export interface QuotaLedgerOptions {
  clock: Clock
  /** The most that a workspace may spend within a window; undefined if it has no limit. */
  limit: (workspace: string) => number | undefined
  /** The term in which this machine leads; in a new term the ledger is rebuilt from the entries' reports. */
  term: () => number
  /** The number of entries that this machine has counted so far. */
  entries: () => number
  /** The window over which quotas are enforced. */
  windowMs: Millis
  tolerance: QuotaTolerance
}

/** How far all entries together may exceed a quota, since each learns with a delay what the others have spent. */
export interface QuotaTolerance {
  /** As a share of the quota. */
  over: number
  /** Units in addition to that. */
  slack: number
}

/** The part that is used; the rest is for what killed or disconnected entries have admitted unreported. */
const TOLERANCE_SHARE = 0.1

/** A new leader grants once every entry has reported, or after this time, since an entry may be down. */
const COLLECT_MS = 1_200
/** Each serving entry reports once in this time; a leader that was disconnected may have counted few entries yet. */
const MIN_COLLECT_MS = 600
/** How often reports trigger a sweep for entries that are silent. */
const SWEEP_MS = 250

/** The leader's record of what the entries have spent of each workspace's quota within the window. */
export class QuotaLedger {
  private term = -1
  private since: Millis = 0
  private sweptAt: Millis = -Infinity
  private usages = new Map<string, WorkspaceUsage>()
  /** When each entry reported last. */
  private reportedAt = new Map<string, Millis>()

  constructor(private readonly options: QuotaLedgerOptions) {}

  /** Applies an entry's report. @returns grants for the reported workspaces; none while reports are still collected. */
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

  /** The share of entries that have not reported to a new leader, so that their last window's spending is unknown. */
  private unreportedShare(now: Millis): number {
    const known = this.options.entries()
    if (known === 0 || now - this.since >= this.options.windowMs) return 0
    return Math.max(0, known - this.reportedAt.size) / known
  }

  /** Units that entries may spend unreported without any request being refused for it. */
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

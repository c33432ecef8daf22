import type { Millis } from '@forkstage/types'
import type { QuotaGrant, SpentReport } from './quotaTypes'

/** Two report intervals: before its next report an entry spends no more than is requested of it in this time. */
const UNREPORTED_MS = 1_000
/** Two report intervals: an entry silent for this long may be disconnected and keep serving its share. */
const SILENT_MS = 1_000
/** A silent entry is assumed to keep serving for this long, then to be gone, as in the count of entries. */
const ASSUME_SERVING_MS = 15_000
const SECOND_MS = 1_000

/** An entry's last report on a workspace, and the units granted in answer to it. */
interface EntryRecord extends SpentReport {
  granted: number
}

/** What an earlier incarnation of an entry spent, which the entry does not report any more. */
interface LostSpending {
  units: number
  at: Millis
}

/**
 * What all entries have spent of one workspace's quota. Sums are updated with each report, so that a report costs the
 * same however many entries there are.
 */
export class WorkspaceUsage {
  private readonly entries = new Map<string, EntryRecord>()
  private lostSpending: LostSpending[] = []
  /** These three are sums over all entries. */
  private spent = 0
  private demand = 0
  private unreported = 0

  constructor(private readonly windowMs: Millis) {}

  /** Whether no entry reports the workspace any more. */
  get isUnused(): boolean {
    return this.entries.size === 0 && this.lostSpending.length === 0
  }

  /** Applies an entry's report. @param reportedAt when the entry reported last; undefined if it never did. */
  applyReport(entry: string, report: SpentReport, reportedAt: Millis | undefined): void {
    const before = this.entries.get(entry)
    if (before !== undefined && before.life !== report.life && reportedAt !== undefined) {
      // What the earlier incarnation spent leaves the window no later than a window after its last report.
      this.lostSpending.push({ units: before.recent, at: reportedAt })
      this.spent += before.recent
    }
    this.drop(entry)
    // Without a known grant there is no bound: the entry may still spend one of an earlier leader.
    this.put(entry, { ...report, granted: before?.granted ?? Infinity })
  }

  /**
   * What an entry may spend until it reports again: all that is left, less what others may have spent unreported, as
   * far as that exceeds `toleratedUnits`. A division by demand would refuse requests within the quota wherever they
   * arrive unevenly.
   */
  grant(entry: string, limit: number, toleratedUnits: number): QuotaGrant {
    const record = this.entries.get(entry)!
    this.drop(entry)
    const unreported = Math.max(0, this.unreported - toleratedUnits)
    const units = limit - this.spent - record.recent - unreported
    this.put(entry, { ...record, granted: units })
    return { units, share: this.shareOf(record, limit) }
  }

  /**
   * An entry's share of the total demand, and no more than its share of what the quota allows: when many requests
   * arrive at once, the first entries to report would take what those that have not reported yet will request.
   */
  private shareOf({ demandPerSecond }: EntryRecord, limit: number): number {
    const allowedPerSecond = (limit * SECOND_MS) / this.windowMs
    return demandPerSecond / Math.max(this.demand, allowedPerSecond)
  }

  /** Counts what silent entries may spend without the leader, and drops what has left the window. */
  sweep(limit: number, reportedAt: ReadonlyMap<string, Millis>, now: Millis): void {
    for (const [entry, record] of [...this.entries]) {
      const silentMs = now - (reportedAt.get(entry) ?? -Infinity)
      // An entry that has just reported still gets its grant.
      const isUnused = silentMs > 0 && record.recent === 0 && record.demandPerSecond === 0
      if (silentMs > ASSUME_SERVING_MS || isUnused) this.drop(entry)
      else if (silentMs >= SILENT_MS) this.assumeSpent(entry, record, limit)
    }
    const left = this.lostSpending.filter(({ at }) => now - at >= this.windowMs)
    for (const { units } of left) this.spent -= units
    this.lostSpending = this.lostSpending.filter((one) => !left.includes(one))
  }

  /** Assumes that a silent entry has spent its share of the quota, or what it reported if that is more. */
  private assumeSpent(entry: string, record: EntryRecord, limit: number): void {
    const part = limit * this.shareOf(record, limit)
    this.drop(entry)
    this.put(entry, { ...record, recent: Math.max(record.recent, part), granted: 0 })
  }

  private put(entry: string, record: EntryRecord): void {
    this.entries.set(entry, record)
    this.add(record, 1)
  }

  private drop(entry: string): void {
    const record = this.entries.get(entry)
    if (record === undefined) return
    this.entries.delete(entry)
    this.add(record, -1)
    // Rounding errors must not accumulate in the sums.
    if (this.entries.size === 0) this.demand = this.unreported = 0
  }

  private add(record: EntryRecord, sign: 1 | -1): void {
    this.spent += sign * record.recent
    this.demand += sign * record.demandPerSecond
    this.unreported += sign * unreportedUnits(record)
  }
}

/** The units that an entry may have spent since its last report. */
function unreportedUnits({ granted, askedPerSecond }: EntryRecord): number {
  return Math.max(0, Math.min(granted, (askedPerSecond * UNREPORTED_MS) / SECOND_MS))
}

import type { Millis } from '@forkstage/types'
import type { QuotaGrant, SpentReport } from './quotaTypes'

/** An entry spends no more than is asked of it in this time, two reports, before it is heard again. */
const UNREPORTED_MS = 1_000
/** An entry that has not reported for so long, two reports, may be cut off and go on serving its part. */
const SILENT_MS = 1_000
/** For so long it is assumed to do so; then it counts as gone, as it does where entries are counted. */
const ASSUME_SERVING_MS = 15_000
const SECOND_MS = 1_000

/** What an entry said last of a workspace, and what it was granted then. */
interface EntryRecord extends SpentReport {
  granted: number
}

/** What was spent by an entry's earlier life, which it has forgotten. */
interface LostSpending {
  units: number
  at: Millis
}

/**
 * What all entries have spent of one workspace's quota. Sums are kept as reports come, so that a report costs the same
 * however many entries there are.
 */
export class WorkspaceUsage {
  private readonly entries = new Map<string, EntryRecord>()
  private lostSpending: LostSpending[] = []
  /** Over all entries. */
  private spent = 0
  private demand = 0
  private unreported = 0

  constructor(private readonly windowMs: Millis) {}

  /** Whether no entry speaks of the workspace any more. */
  get isUnused(): boolean {
    return this.entries.size === 0 && this.lostSpending.length === 0
  }

  /** @param reportedAt when the entry was heard before; undefined where it was not. */
  applyReport(entry: string, report: SpentReport, reportedAt: Millis | undefined): void {
    const before = this.entries.get(entry)
    if (before !== undefined && before.life !== report.life && reportedAt !== undefined) {
      // What it had spent leaves the window no later than this.
      this.lostSpending.push({ units: before.recent, at: reportedAt })
      this.spent += before.recent
    }
    this.drop(entry)
    // What it may still be spending of an earlier grant, of another leader's perhaps, is not known to end.
    this.put(entry, { ...report, granted: before?.granted ?? Infinity })
  }

  /**
   * What an entry may spend until it reports again: all that is left, without what others may have spent since they
   * were heard, as far as that is more than `bearable`. Parts by demand would refuse what lies within the quota
   * wherever requests come unevenly.
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
   * An entry's part of what is asked of all, and no more than its part of what the quota allows: when many requests
   * come at once, the first entries to report would take what those not heard yet will ask for.
   */
  private shareOf({ demandPerSecond }: EntryRecord, limit: number): number {
    const allowedPerSecond = (limit * SECOND_MS) / this.windowMs
    return demandPerSecond / Math.max(this.demand, allowedPerSecond)
  }

  /** Counts what entries that are not heard may spend alone, and forgets what has left the window. */
  sweep(limit: number, reportedAt: ReadonlyMap<string, Millis>, now: Millis): void {
    for (const [entry, record] of [...this.entries]) {
      const silentMs = now - (reportedAt.get(entry) ?? -Infinity)
      // One that has just reported gets its grant yet.
      const isUnused = silentMs > 0 && record.recent === 0 && record.demandPerSecond === 0
      if (silentMs > ASSUME_SERVING_MS || isUnused) this.drop(entry)
      else if (silentMs >= SILENT_MS) this.assumeSpent(entry, record, limit)
    }
    const left = this.lostSpending.filter(({ at }) => now - at >= this.windowMs)
    for (const { units } of left) this.spent -= units
    this.lostSpending = this.lostSpending.filter((one) => !left.includes(one))
  }

  /** Alone an entry may come to have spent its part of the quota, or all that is asked of it. */
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
    // Rounding must not leave a rest behind.
    if (this.entries.size === 0) this.demand = this.unreported = 0
  }

  private add(record: EntryRecord, sign: 1 | -1): void {
    this.spent += sign * record.recent
    this.demand += sign * record.demandPerSecond
    this.unreported += sign * unreportedUnits(record)
  }
}

/** What an entry may have spent since it was heard. */
function unreportedUnits({ granted, askedPerSecond }: EntryRecord): number {
  return Math.max(0, Math.min(granted, (askedPerSecond * UNREPORTED_MS) / SECOND_MS))
}

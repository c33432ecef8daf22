import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { CrashTracker } from './crashTracker'
import type { CrashRecord } from './crashTypes'

/** Options of {@link CrashReporter}. */
export interface CrashReporterOptions {
  clock: Clock
  tracker: CrashTracker
  /** Sends records to the leader; resolves to undefined if the leader does not answer in time. */
  report: (records: CrashRecord[]) => Promise<true | undefined>
  /** The address of the current leader, as far as this entry knows; undefined where none is known. */
  leader: () => Address | undefined
}

const REPORT_RETRY_MS: Millis = 400
const LEADER_CHECK_MS: Millis = 1_000
/** Contents kept for a new leader; the oldest are dropped first. */
const MAX_OWN_CONTENTS = 256

/**
 * Reports the crashes seen by this entry to the leader until it acknowledges them, and once more to each new leader.
 */
export class CrashReporter {
  private readonly ownContents = new Set<ContentDigest>()
  private readonly unreported = new Set<ContentDigest>()
  private reportedLeader: Address | undefined
  private isFlushing = false
  private cancelLeaderCheck: CancelTimer | undefined
  private cancelRetry: CancelTimer | undefined

  constructor(private readonly options: CrashReporterOptions) {}

  /** Queues records of crashes that this entry has seen itself. */
  enqueue(records: CrashRecord[]): void {
    for (const { content } of records) {
      this.ownContents.delete(content)
      this.ownContents.add(content)
      this.unreported.add(content)
    }
    for (const content of [...this.ownContents].slice(
      0,
      Math.max(0, this.ownContents.size - MAX_OWN_CONTENTS),
    ))
      this.ownContents.delete(content)
    if (records.length > 0) void this.flush()
    if (this.ownContents.size > 0) this.cancelLeaderCheck ??= this.scheduleLeaderCheck()
  }

  stop(): void {
    this.cancelLeaderCheck?.()
    this.cancelRetry?.()
    this.ownContents.clear()
    this.unreported.clear()
  }

  /** Reports all own contents to a new leader: the previous leader may have failed before it forwarded them. */
  private checkLeader(): void {
    const leader = this.options.leader()
    if (leader === undefined || leader === this.reportedLeader) return
    this.ownContents.forEach((content) => this.unreported.add(content))
    void this.flush()
  }

  private scheduleLeaderCheck(): CancelTimer {
    return this.options.clock.after(LEADER_CHECK_MS, () => {
      this.cancelLeaderCheck = this.ownContents.size > 0 ? this.scheduleLeaderCheck() : undefined
      this.checkLeader()
    })
  }

  private async flush(): Promise<void> {
    if (this.isFlushing || this.unreported.size === 0) return
    this.isFlushing = true
    const batch = [...this.unreported]
    this.unreported.clear()
    let isReported = false
    try {
      isReported = await this.report(batch)
    } finally {
      this.isFlushing = false
      if (!isReported) this.retryLater(batch)
    }
    if (isReported) void this.flush()
  }

  /** Returns whether the leader has acknowledged the records. */
  private async report(batch: ContentDigest[]): Promise<boolean> {
    const { tracker, report, leader } = this.options
    const reportedTo = leader()
    const answer = await report(tracker.recordsOf(batch))
    if (answer !== true) return false
    this.reportedLeader = reportedTo
    return true
  }

  private retryLater(batch: ContentDigest[]): void {
    batch.forEach((content) => this.unreported.add(content))
    this.cancelRetry?.()
    this.cancelRetry = this.options.clock.after(REPORT_RETRY_MS, () => void this.flush())
  }
}

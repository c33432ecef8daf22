import type { Effect, HardState, LogEntry, Snapshot } from '@forkstage/raft'
import type { LogRecord, ReplicaStorage } from '@forkstage/storage'

/** A write to the disk, or a callback to run once all earlier writes are synced. */
type Job =
  | { type: 'records'; records: LogRecord[]; last?: LogEntry }
  | { type: 'snapshot'; snapshot: Snapshot; hardState: HardState; rest: LogEntry[] }
  | { type: 'then'; run: () => void }

/** Options of {@link PersistQueue}. */
export interface PersistQueueOptions {
  storage: ReplicaStorage
  /** Called when the entries up to `last` are synced. */
  onPersisted: (last: { index: number; term: number }) => void
  onSnapshot: (snapshot: Snapshot, bytes: number) => void
  /** Called when a write has failed; nothing more is written. */
  onFailure: (error: unknown) => void
}

/** Writes records and snapshots in order, syncs queued records together (group commit) and then runs callbacks. */
export class PersistQueue {
  private jobs: Job[] = []
  private running = false
  private failed = false

  constructor(private readonly options: PersistQueueOptions) {}

  persist(effect: Extract<Effect, { type: 'persist' }>): void {
    const records: LogRecord[] = []
    if (effect.hardState !== undefined) records.push({ type: 'hardState', hardState: effect.hardState })
    if (effect.truncateFrom !== undefined) records.push({ type: 'truncate', from: effect.truncateFrom })
    records.push(...effect.entries.map((entry) => ({ type: 'entry' as const, entry })))
    this.enqueue({ type: 'records', records, last: effect.entries.at(-1) })
  }

  saveSnapshot(snapshot: Snapshot, hardState: HardState, rest: LogEntry[]): void {
    this.enqueue({ type: 'snapshot', snapshot, hardState, rest })
  }

  /** Runs a callback once everything queued so far is synced; at once if nothing is queued. */
  afterSync(run: () => void): void {
    if (this.jobs.length === 0 && !this.running && !this.failed) return run()
    this.enqueue({ type: 'then', run })
  }

  private enqueue(job: Job): void {
    if (this.failed) return
    this.jobs.push(job)
    if (!this.running) void this.run()
  }

  private async run(): Promise<void> {
    this.running = true
    try {
      // Lets the rest of the current step join the first batch.
      await Promise.resolve()
      while (this.jobs.length > 0) await this.runBatch()
    } catch (error) {
      this.failed = true
      this.jobs = []
      this.options.onFailure(error)
    } finally {
      this.running = false
    }
  }

  private async runBatch(): Promise<void> {
    const first = this.jobs[0]!
    if (first.type === 'snapshot') return this.runSnapshot(first)
    const end = this.jobs.findIndex((job) => job.type === 'snapshot')
    const batch = this.jobs.splice(0, end < 0 ? this.jobs.length : end)
    const records = batch.flatMap((job) => (job.type === 'records' ? job.records : []))
    if (records.length > 0) await this.options.storage.append(records)
    for (const job of batch) if (job.type === 'then') job.run()
    const last = batch
      .flatMap((job) => (job.type === 'records' && job.last !== undefined ? [job.last] : []))
      .at(-1)
    if (last !== undefined) this.options.onPersisted(last)
  }

  private async runSnapshot(job: Extract<Job, { type: 'snapshot' }>): Promise<void> {
    this.jobs.shift()
    const bytes = await this.options.storage.saveSnapshot(job.snapshot, job.hardState, job.rest)
    this.options.onSnapshot(job.snapshot, bytes)
  }
}

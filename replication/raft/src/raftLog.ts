import { assertInvariant } from '@forkstage/error'
import type { GroupConfig, LogEntry, SnapshotMeta } from './types'

/** The log in memory: all entries after the snapshot, and the group configurations among them. */
export class RaftLog {
  private entries: LogEntry[] = []
  private configs: { index: number; config: GroupConfig }[]
  snapshot: SnapshotMeta

  constructor(snapshot: SnapshotMeta, entries: LogEntry[]) {
    this.snapshot = snapshot
    this.configs = [{ index: snapshot.configIndex, config: snapshot.config }]
    this.append(entries)
  }

  get lastIndex(): number {
    return this.snapshot.index + this.entries.length
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term
  }

  /** The newest configuration, committed or not. */
  get config(): GroupConfig {
    return this.newestConfig().config
  }

  get configIndex(): number {
    return this.newestConfig().index
  }

  /** The configuration that applies at an index: the newest one up to there. */
  configAt(index: number): { index: number; config: GroupConfig } {
    const earlier = this.configs.filter((known) => known.index <= index)
    return earlier.at(-1) ?? this.configs[0]!
  }

  /** The term at an index; undefined if the log does not contain that index. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) return this.snapshot.term
    return this.entries[index - this.snapshot.index - 1]?.term
  }

  /** The entries from one index to another, both included. */
  slice(from: number, to: number): LogEntry[] {
    const base = this.snapshot.index + 1
    return this.entries.slice(Math.max(0, from - base), Math.max(0, to - base + 1))
  }

  append(entries: LogEntry[]): void {
    for (const entry of entries) {
      assertInvariant(
        entry.index === this.lastIndex + 1,
        'the log has no gaps',
        () => `${entry.index} after ${this.lastIndex}`,
      )
      assertInvariant(
        entry.term >= this.lastTerm,
        'terms in the log never decrease',
        () => `at ${entry.index}`,
      )
      this.entries.push(entry)
      if (entry.kind === 'config')
        this.configs.push({ index: entry.index, config: entry.data as GroupConfig })
    }
  }

  /** Removes the entries from an index on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.snapshot.index - 1)
    this.configs = this.configs.filter((known, position) => position === 0 || known.index < index)
  }

  /** Removes the entries that a snapshot of this replica's own state covers. */
  compact(meta: SnapshotMeta): void {
    if (meta.index <= this.snapshot.index) return
    this.entries = this.entries.slice(meta.index - this.snapshot.index)
    this.configs = [
      { index: meta.configIndex, config: meta.config },
      ...this.configs.filter((known) => known.index > meta.index),
    ]
    this.snapshot = meta
  }

  /** Replaces the whole log with a snapshot received from the leader. */
  reset(meta: SnapshotMeta): void {
    this.snapshot = meta
    this.entries = []
    this.configs = [{ index: meta.configIndex, config: meta.config }]
  }

  private newestConfig(): { index: number; config: GroupConfig } {
    return this.configs.at(-1)!
  }
}

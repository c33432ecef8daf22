import type { Clock } from '@forkstage/clock'
import { CRASH_REPORT, readCrashRecords, type CrashBook, type CrashRecord } from '@forkstage/crashes'
import { ForkstageError } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { FileSystem } from '@forkstage/storage'
import { KeptFile } from './keptFile'
import { logCrashes } from './logCrashes'

/** Options of {@link ControlCrashes}. */
export interface ControlCrashesOptions {
  book: CrashBook
  /** The folder of this machine's disk. */
  folder: string
  files: FileSystem
  /** Called when there is something to pass on. */
  onChange: () => void
  clock: Clock
  logger: Logger
}

const FILE = 'crashes.json'

/** Raised where what was reported is known here and not on disk: whoever reported it tells it again. */
export class NotKeptError extends ForkstageError {
  constructor() {
    super('FORKSTAGE_NOT_KEPT', 'What was reported is not on disk.', 'Report it again.', { step: 'keep' })
  }
}

/**
 * A control machine's part in what is known of requests that end their endpoints: takes what entries and other control
 * machines report, passes it on, and keeps it, since all machines may lose power at once while such a request comes again.
 */
export class ControlCrashes {
  private readonly file: KeptFile

  constructor(private readonly options: ControlCrashesOptions) {
    const { clock, book } = options
    const content = () => ({ savedAt: clock.wallNow(), records: book.since(0) })
    this.file = new KeptFile({ ...options, file: FILE, content })
  }

  methods(): Record<string, PeerMethod> {
    return {
      [CRASH_REPORT]: async ({ records }: { records: unknown }) => {
        this.take(records)
        // Entries tell again whoever has not answered: killed after the answer, this machine must still know it.
        if (await this.file.keep()) return true
        throw new NotKeptError()
      },
    }
  }

  /** Takes what another machine sent. */
  take(records: unknown): void {
    const { book, logger, onChange } = this.options
    const news = book.merge(readCrashRecords(records))
    if (news.length === 0) return
    logCrashes(logger, book, news)
    this.file.noteChange()
    onChange()
  }

  /** Takes what was kept before this start. */
  async recall(): Promise<void> {
    const kept = (await this.file.recall()) as { savedAt?: unknown; records?: unknown } | null | undefined
    if (kept === undefined || kept === null) return
    const awayMs = Math.max(0, this.options.clock.wallNow() - Number(kept.savedAt)) || 0
    this.take(readCrashRecords(kept.records).map((one) => later(one, awayMs)))
  }

  stop(): void {
    this.file.stop()
  }
}

function later(record: CrashRecord, byMs: number): CrashRecord {
  return { ...record, ageMs: record.ageMs + byMs }
}

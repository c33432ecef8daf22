import { every, type CancelTimer, type Clock, type Random } from '@forkstage/clock'
import {
  CRASH_REPORT,
  readCrashRecords,
  readTrialRequest,
  readTrialEnd,
  TRIAL_REQUEST,
  TRIAL_END,
  TrialScheduler,
  type CrashTracker,
  type CrashRecord,
  type TrialAnswer,
  type TrialRequest,
} from '@forkstage/crashes'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import { ForkstageError } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { FileSystem } from '@forkstage/storage'
import { KeptFile } from './keptFile'
import { logCrashes } from './logCrashes'

/** Options of {@link ControlCrashes}. */
export interface ControlCrashesOptions {
  book: CrashTracker
  /** The folder of this machine's disk. */
  folder: string
  files: FileSystem
  /** Called when there is something to pass on. */
  onChange: () => void
  endpoints: () => RegisteredEndpoint[]
  /** Whether an endpoint must get nothing now, though it is registered. */
  isBarred: (endpoint: RegisteredEndpoint) => boolean
  /** Whether this machine leads; only then it keeps endpoints free. */
  isLeader: () => boolean
  random: Random
  clock: Clock
  logger: Logger
}

const FILE = 'crashes.json'
const TICK_EVERY_MS = 100

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
  private readonly trials: TrialScheduler
  private cancelTick: CancelTimer = () => undefined

  constructor(private readonly options: ControlCrashesOptions) {
    const { clock, book } = options
    const content = () => ({ savedAt: clock.wallNow(), records: book.changesSince(0) })
    this.file = new KeptFile({ ...options, file: FILE, content })
    this.trials = new TrialScheduler({
      now: () => clock.now(),
      random: options.random,
      registered: (service) => this.registered(service),
      hasCrashed: (endpoint) => book.hasCrashed(endpoint),
      isSuspect: (content) => book.isSuspect(content),
      onChange: () => this.noteKeptFree(),
    })
  }

  /** Endpoints that must get nothing but what may run alone there. */
  get keptFree(): InstanceId[] {
    return this.trials.endpoints
  }

  start(): void {
    this.cancelTick = every(this.options.clock, TICK_EVERY_MS, () => this.tick())
  }

  methods(): Record<string, PeerMethod> {
    return {
      [CRASH_REPORT]: async ({ records }: { records: unknown }) => {
        this.apply(records)
        // Entries tell again whoever has not answered: killed after the answer, this machine must still know it.
        if (await this.file.keep()) return true
        throw new NotKeptError()
      },
      [TRIAL_REQUEST]: (raw: unknown) => this.askTrial(readTrialRequest(raw)),
      [TRIAL_END]: (raw: unknown) => {
        const end = readTrialEnd(raw)
        if (end === undefined) return
        this.apply(end.records)
        this.trials.end(end)
      },
    }
  }

  /** Takes what another machine sent. */
  apply(records: unknown): void {
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
    this.apply(readCrashRecords(kept.records).map((one) => later(one, awayMs)))
  }

  stop(): void {
    this.file.stop()
    this.cancelTick()
  }

  private askTrial(ask: TrialRequest | undefined): TrialAnswer | undefined {
    if (ask === undefined || !this.options.isLeader()) return undefined
    this.apply(ask.records)
    return this.trials.ask(ask)
  }

  /** Plain endpoints that are there to take work. Those that have ended may be listed until they register anew. */
  private registered(service: string): InstanceId[] {
    const { endpoints, isBarred } = this.options
    const plain = endpoints().filter((one) => one.service === service && one.stage === undefined)
    return plain.filter((one) => one.state === 'ready' && !isBarred(one)).map(({ id }) => id)
  }

  private tick(): void {
    if (this.options.isLeader()) this.trials.sweepExpired()
    else this.trials.clear()
  }

  private noteKeptFree(): void {
    this.options.logger.info('endpoints.kept-free', { endpoints: this.keptFree })
    this.options.onChange()
  }
}

function later(record: CrashRecord, byMs: number): CrashRecord {
  return { ...record, ageMs: record.ageMs + byMs }
}

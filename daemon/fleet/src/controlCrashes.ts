import { every, type CancelTimer, type Clock, type Random } from '@forkstage/clock'
import {
  CRASH_REPORT,
  isPart,
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
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { FileSystem } from '@forkstage/storage'
import { NotPersistedError } from './notPersistedError'
import { StateFile } from './stateFile'
import { logCrashes } from './logCrashes'

/** Options of {@link ControlCrashes}. */
export interface ControlCrashesOptions {
  tracker: CrashTracker
  /** The data folder of this machine. */
  folder: string
  files: FileSystem
  /** Called when there are new records or reservations to send to followers. */
  onChange: () => void
  endpoints: () => RegisteredEndpoint[]
  /** Whether a registered endpoint must get no requests now. */
  isBarred: (endpoint: RegisteredEndpoint) => boolean
  /** Whether this machine leads; only a leader reserves endpoints. */
  isLeader: () => boolean
  random: Random
  clock: Clock
  logger: Logger
}

const FILE_NAME = 'crashes.json'
const SWEEP_EVERY_MS = 100

/**
 * Collects at a control machine what entries and other control machines report of poison requests, sends it to followers
 * and schedules isolated trials. Records are written to disk, as a poison request can return after all machines lost power.
 */
export class ControlCrashes {
  private readonly file: StateFile
  private readonly trials: TrialScheduler
  private cancelSweep: CancelTimer = () => undefined

  constructor(private readonly options: ControlCrashesOptions) {
    const { clock, tracker } = options
    const content = () => ({ savedAt: clock.wallNow(), records: tracker.changesSince(0) })
    this.file = new StateFile({ ...options, file: FILE_NAME, content })
    this.trials = new TrialScheduler({
      now: () => clock.now(),
      random: options.random,
      registered: (service) => this.readyPlainEndpoints(service),
      hasCrashed: (endpoint) => tracker.hasCrashed(endpoint),
      isSuspect: (content) => !isPart(content) && tracker.isSuspect(content),
      onChange: () => this.publishReserved(),
    })
  }

  /** The reserved endpoints, which get only requests of isolated trials. */
  get reserved(): InstanceId[] {
    return this.trials.endpoints
  }

  start(): void {
    this.cancelSweep = every(this.options.clock, SWEEP_EVERY_MS, () => this.sweep())
  }

  methods(): Record<string, PeerMethod> {
    return {
      [CRASH_REPORT]: async ({ records }: { records: unknown }) => {
        this.apply(records)
        // An entry does not repeat an acknowledged report, so the report must survive a kill right after the answer.
        if (await this.file.flush()) return true
        throw new NotPersistedError()
      },
      [TRIAL_REQUEST]: (raw: unknown) => this.requestTrial(readTrialRequest(raw)),
      [TRIAL_END]: (raw: unknown) => {
        const end = readTrialEnd(raw)
        if (end === undefined) return
        this.apply(end.records)
        this.trials.end(end)
      },
    }
  }

  /** Merges crash records received from another machine. */
  apply(records: unknown): void {
    const { tracker, logger, onChange } = this.options
    const changed = tracker.merge(readCrashRecords(records))
    if (changed.length === 0) return
    logCrashes(logger, tracker, changed)
    this.file.markChanged()
    onChange()
  }

  /** Merges the crash records saved before this start, aged by the time the machine was down. */
  async load(): Promise<void> {
    const saved = (await this.file.load()) as { savedAt?: unknown; records?: unknown } | null | undefined
    if (saved === undefined || saved === null) return
    const downMs = Math.max(0, this.options.clock.wallNow() - Number(saved.savedAt)) || 0
    this.apply(readCrashRecords(saved.records).map((one) => withAddedAge(one, downMs)))
  }

  stop(): void {
    this.file.stop()
    this.cancelSweep()
  }

  private requestTrial(request: TrialRequest | undefined): TrialAnswer | undefined {
    if (request === undefined || !this.options.isLeader()) return undefined
    this.apply(request.records)
    return this.trials.ask(request)
  }

  /** Returns the ready plain endpoints of a service. Crashed ones can be among them until they register again. */
  private readyPlainEndpoints(service: string): InstanceId[] {
    const { endpoints, isBarred } = this.options
    const plain = endpoints().filter((one) => one.service === service && one.stage === undefined)
    return plain.filter((one) => one.state === 'ready' && !isBarred(one)).map(({ id }) => id)
  }

  private sweep(): void {
    if (this.options.isLeader()) this.trials.sweepExpired()
    else this.trials.clear()
  }

  private publishReserved(): void {
    this.options.logger.info('endpoints.kept-free', { endpoints: this.reserved })
    this.options.onChange()
  }
}

function withAddedAge(record: CrashRecord, byMs: number): CrashRecord {
  return { ...record, ageMs: record.ageMs + byMs }
}

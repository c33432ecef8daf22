import type { StreamOrigins } from '@forkstage/allocator'
import type { CancelTimer, Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import {
  OriginTable,
  readOrigins,
  readSavedVersions,
  readVersions,
  VersionHistory,
  type OriginAnswer,
  type OriginQuery,
  type OriginRecord,
  type StreamOrigin,
} from '@forkstage/origins'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { FileSystem } from '@forkstage/storage'
import type { Address, Millis } from '@forkstage/types'
import { StateFile } from './stateFile'

/** Options of {@link ControlOrigins}. */
export interface ControlOriginsOptions {
  clock: Clock
  logger: Logger
  /** The data folder of this machine. */
  folder: string
  files: FileSystem
  /** Whether this machine founds its group: without a file of its own, no engine can have served before. */
  isFounding: boolean
  /** Returns the addresses of the other control machines. */
  others: () => Address[]
  peers: { notify: (address: Address, method: string, params: unknown) => void }
}

const FILE_NAME = 'versions.json'
const REPLICATE = 'origins.replicate'
/** Records that arrive within this time share a message. */
const REPLICATE_AFTER_MS: Millis = 20

/**
 * The origins of streams at a control machine. The leader sends those that it records to the other control machines, so
 * that a new leader knows them even if the entries that began the streams are gone.
 */
export class ControlOrigins implements StreamOrigins {
  private readonly history: VersionHistory
  private readonly table: OriginTable
  /** The versions of services, since those that served before a restart may have begun streams too. */
  private readonly file: StateFile
  private savedVersions = '[]'
  private unsent: OriginRecord[] = []
  private unsentVersions: StreamOrigin[] = []
  private cancelSend: CancelTimer | undefined

  constructor(private readonly options: ControlOriginsOptions) {
    const { clock, logger, folder, files } = options
    this.table = new OriginTable({ clock })
    this.history = new VersionHistory(clock)
    const content = () => this.history.save()
    this.file = new StateFile({ folder, file: FILE_NAME, files, content, clock, logger })
  }

  /** Loads what was known before the start. */
  async load(): Promise<void> {
    const raw = await this.file.load()
    const saved = readSavedVersions(raw)
    if (saved !== undefined) this.history.restore(saved)
    else if (raw === undefined && this.options.isFounding) this.history.markFounded()
    this.file.markChanged()
  }

  /** The number of streams whose origin is known. */
  get count(): number {
    return this.table.size
  }

  /** Returns the methods that other control machines call here. */
  methods(): Record<string, PeerMethod> {
    return {
      [REPLICATE]: (params: { origins?: unknown; versions?: unknown }) => {
        this.table.merge(readOrigins(params.origins))
        this.addVersions(readVersions(params.versions))
      },
    }
  }

  /** Applies changed endpoints. */
  update(changed: RegisteredEndpoint[]): void {
    this.history.update(changed)
    this.saveIfChanged()
  }

  /** Whether engines of a version are known to run. */
  isRunning(version: StreamOrigin): boolean {
    return this.history.isRunning(version)
  }

  recordVersions(versions: StreamOrigin[]): void {
    if (versions.length === 0) return
    this.addVersions(versions)
    this.unsentVersions.push(...versions)
    this.scheduleSend()
  }

  private addVersions(versions: StreamOrigin[]): void {
    for (const version of versions) this.history.add(version)
    this.saveIfChanged()
  }

  private saveIfChanged(): void {
    const versions = JSON.stringify(this.history.save().versions)
    if (versions === this.savedVersions) return
    this.savedVersions = versions
    this.file.markChanged()
  }

  record(records: OriginRecord[]): void {
    this.table.merge(records)
    this.unsent.push(...records)
    this.scheduleSend()
  }

  find({ stream, service, withinMs }: OriginQuery): OriginAnswer {
    const origin = this.table.find(stream)
    if (origin !== undefined) return { origin }
    if (this.history.hasSeveral(service, withinMs)) return { hasSeveralVersions: true }
    return { soleVersion: this.history.soleVersion(service, withinMs) }
  }

  stop(): void {
    this.cancelSend?.()
    this.file.stop()
  }

  private scheduleSend(): void {
    this.cancelSend ??= this.options.clock.after(REPLICATE_AFTER_MS, () => this.send())
  }

  private send(): void {
    const news = { origins: this.unsent, versions: this.unsentVersions }
    this.unsent = []
    this.unsentVersions = []
    this.cancelSend = undefined
    for (const address of this.options.others()) this.options.peers.notify(address, REPLICATE, news)
  }
}

import type { Clock } from '@forkstage/clock'
import { readEndpoints, type Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { FileSystem } from '@forkstage/storage'
import type { Address, Millis } from '@forkstage/types'
import { NotPersistedError } from './notPersistedError'
import { StateFile } from './stateFile'

/** Options of {@link DepartureStore}. */
export interface DepartureStoreOptions {
  directory: Directory
  /** The data folder of this machine. */
  folder: string
  files: FileSystem
  self: Address
  /** Returns the addresses of the voting control machines; empty while they are not known. */
  voters: () => Address[]
  peers: Pick<PeerCaller, 'call'>
  /** Merges endpoints that this machine or another one has saved. */
  merge: (endpoints: RegisteredEndpoint[]) => void
  clock: Clock
  logger: Logger
}

const FILE_NAME = 'departures.json'
const PERSIST = 'departures.persist'
/** An endpoint gives a call up after a second. */
const PERSIST_TIMEOUT_MS: Millis = 600
/** Departures on disk: more than leave before every machine has saved its endpoints again. */
const MAX_SAVED = 256
/** Departures that a majority is known to have; the repeated calls of a draining endpoint ask nobody. */
const MAX_PERSISTED = 1_000

/**
 * Keeps departures of endpoints on the disks of a majority of the control machines, so that an acknowledged one also holds
 * after all processes and a minority of the disks are lost: a saved endpoint that has left is not recalled.
 */
export class DepartureStore {
  private readonly file: StateFile
  /** Id and state of each departure that a majority has on disk. */
  private readonly persisted = new Set<string>()

  constructor(private readonly options: DepartureStoreOptions) {
    const { directory } = options
    const content = () => ({ endpoints: directory.departed(MAX_SAVED) })
    this.file = new StateFile({ ...options, file: FILE_NAME, content })
  }

  /** Merges the departures saved before this start. */
  async load(): Promise<void> {
    const saved = (await this.file.load()) as { endpoints?: unknown } | null | undefined
    this.options.merge(readEndpoints(saved?.endpoints))
  }

  /** Returns the methods that other control machines call here. */
  methods(): Record<string, PeerMethod> {
    return {
      [PERSIST]: async ({ endpoints }: { endpoints?: unknown }) => {
        this.options.merge(readEndpoints(endpoints))
        if (await this.save()) return true
        throw new NotPersistedError()
      },
    }
  }

  /** Resolves to whether a majority of the control machines has a departure on disk. */
  async persist(departed: RegisteredEndpoint): Promise<boolean> {
    const key = `${departed.id} ${departed.state}`
    if (this.persisted.has(key)) return true
    const { voters, self } = this.options
    const addresses = voters()
    const saves = addresses.map((one) => (one === self ? this.save() : this.persistAt(one, departed)))
    const isPersisted = await isTrueForMost(saves)
    if (isPersisted) this.recordPersisted(key)
    return isPersisted
  }

  /** Schedules a write of departures that were received from elsewhere. */
  markChanged(): void {
    this.file.markChanged()
  }

  stop(): void {
    this.file.stop()
  }

  private save(): Promise<boolean> {
    this.file.markChanged()
    return this.file.flush()
  }

  private async persistAt(address: Address, departed: RegisteredEndpoint): Promise<boolean> {
    const { peers, logger } = this.options
    const call = { deadline: PERSIST_TIMEOUT_MS, step: 'departure' }
    try {
      return await peers.call<boolean>(address, PERSIST, { endpoints: [departed] }, call)
    } catch (error) {
      const { message } = toErrorBody(error)
      logger.warn('departure.not-persisted', { endpoint: departed.id, peer: address, reason: message })
      return false
    }
  }

  private recordPersisted(key: string): void {
    this.persisted.add(key)
    if (this.persisted.size <= MAX_PERSISTED) return
    const [oldest] = this.persisted
    this.persisted.delete(oldest!)
  }
}

/** Resolves as soon as more than half of the results are true, or to false once all are known. */
function isTrueForMost(results: Promise<boolean>[]): Promise<boolean> {
  let succeeded = 0
  return new Promise((resolve) => {
    const all = results.map(async (result) => {
      if (!(await result)) return
      succeeded += 1
      if (succeeded > results.length / 2) resolve(true)
    })
    void Promise.all(all).then(() => resolve(false))
  })
}

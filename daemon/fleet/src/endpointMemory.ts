import type { CancelTimer, Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { FileSystem } from '@forkstage/storage'
import type { Millis } from '@forkstage/types'

/** Options of {@link EndpointMemory}. */
export interface EndpointMemoryOptions {
  /** The folder of this machine's disk that holds the file. */
  folder: string
  files: FileSystem
  /** Endpoints that take work now. */
  endpoints: () => RegisteredEndpoint[]
  clock: Clock
  logger: Logger
}

const FILE = 'endpoints.json'
/** Changes come in groups, as when a service is replaced: one write takes them all. */
const WRITE_AFTER_MS: Millis = 1_000

/**
 * Keeps on disk which endpoints take work, for a machine that starts again. What it recalls is only a hint of whom to
 * ask: an endpoint counts once it has said again that it takes work.
 */
export class EndpointMemory {
  private cancelWrite: CancelTimer | undefined
  private stopped = false
  /** Whether endpoints have changed since the write that is under way began. */
  private hasChanged = false

  constructor(private readonly options: EndpointMemoryOptions) {}

  /** What was kept last; nothing where there is no file or it cannot be read. */
  async recall(): Promise<RegisteredEndpoint[]> {
    const { files, folder, logger } = this.options
    try {
      const names = await files.list(folder)
      if (!names.includes(FILE)) return []
      const text = (await files.read(`${folder}/${FILE}`)).toString()
      return (JSON.parse(text) as { endpoints: RegisteredEndpoint[] }).endpoints
    } catch (error) {
      logger.warn('endpoints.not-recalled', { reason: toErrorBody(error).message })
      return []
    }
  }

  /** Notes that endpoints have changed; they are written a moment later. */
  noteChange(): void {
    this.hasChanged = true
    if (this.stopped || this.cancelWrite !== undefined) return
    this.cancelWrite = this.options.clock.after(WRITE_AFTER_MS, () => {
      this.hasChanged = false
      void this.write().finally(() => {
        this.cancelWrite = undefined
        if (this.hasChanged) this.noteChange()
      })
    })
  }

  stop(): void {
    this.stopped = true
    this.cancelWrite?.()
  }

  private async write(): Promise<void> {
    const { files, folder, endpoints, logger } = this.options
    const ready = endpoints().filter(({ state }) => state === 'ready')
    try {
      await files.makeFolder(folder)
      await files.replace(`${folder}/${FILE}`, Buffer.from(JSON.stringify({ endpoints: ready })))
    } catch (error) {
      // The next change is written anew; until then a restart asks those who were known before.
      logger.warn('endpoints.not-kept', { reason: toErrorBody(error).message })
    }
  }
}

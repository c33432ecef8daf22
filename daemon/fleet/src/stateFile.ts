import type { CancelTimer, Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { FileSystem } from '@forkstage/storage'
import type { Millis } from '@forkstage/types'

/** Options of {@link StateFile}. */
export interface StateFileOptions {
  /** The folder of this machine's disk that holds the file. */
  folder: string
  file: string
  files: FileSystem
  /** What is to be kept now, as JSON holds it. */
  content: () => unknown
  clock: Clock
  logger: Logger
}

/** Changes come in groups, as when a service is replaced: one write takes them all. */
const WRITE_DELAY_MS: Millis = 1_000

/** Keeps on disk what a machine would otherwise have to learn anew when it starts again. A hint: it may be a second old. */
export class StateFile {
  private cancelWrite: CancelTimer | undefined
  private stopped = false
  /** Whether anything has changed since the write that is under way began. */
  private hasUnsavedChanges = false
  private currentWrite: Promise<unknown> = Promise.resolve()
  private nextWrite: Promise<boolean> | undefined

  constructor(private readonly options: StateFileOptions) {}

  /** What was kept last; undefined where there is no file or it cannot be read. */
  async load(): Promise<unknown> {
    const { files, folder, file, logger } = this.options
    try {
      const names = await files.list(folder)
      if (!names.includes(file)) return undefined
      return JSON.parse((await files.read(`${folder}/${file}`)).toString()) as unknown
    } catch (error) {
      logger.warn('file.not-recalled', { file, reason: toErrorBody(error).message })
      return undefined
    }
  }

  /** Notes a change; it is written a moment later. */
  markChanged(): void {
    this.hasUnsavedChanges = true
    if (this.stopped || this.cancelWrite !== undefined) return
    this.cancelWrite = this.options.clock.after(WRITE_DELAY_MS, () => {
      void this.flush().finally(() => {
        this.cancelWrite = undefined
        if (this.hasUnsavedChanges) this.markChanged()
      })
    })
  }

  /** Writes at once what was noted; says whether all of it is on disk. Calls that come meanwhile share the next write. */
  flush(): Promise<boolean> {
    this.nextWrite ??= this.currentWrite.then(() => {
      this.nextWrite = undefined
      const written = this.hasUnsavedChanges ? this.write() : Promise.resolve(true)
      this.currentWrite = written
      return written
    })
    return this.nextWrite
  }

  stop(): void {
    this.stopped = true
    this.cancelWrite?.()
  }

  private async write(): Promise<boolean> {
    const { files, folder, file, content, logger } = this.options
    this.hasUnsavedChanges = false
    try {
      await files.makeFolder(folder)
      await files.replace(`${folder}/${file}`, Buffer.from(JSON.stringify(content())))
      return true
    } catch (error) {
      // Tried again a moment later; until then a restart knows what was known before.
      this.hasUnsavedChanges = true
      logger.warn('file.not-kept', { file, reason: toErrorBody(error).message })
      return false
    }
  }
}

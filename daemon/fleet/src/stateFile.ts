import type { CancelTimer, Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { FileSystem } from '@forkstage/storage'
import type { Millis } from '@forkstage/types'

/** Options of {@link StateFile}. */
export interface StateFileOptions {
  /** The folder that holds the file. */
  folder: string
  file: string
  files: FileSystem
  /** Returns the value to save as JSON. */
  content: () => unknown
  clock: Clock
  logger: Logger
}

/** Changes come in groups, for example when a service is replaced, and are combined into one write. */
const WRITE_DELAY_MS: Millis = 1_000

/** Saves state on disk that a machine would otherwise relearn after a restart. The file can be a second out of date. */
export class StateFile {
  private cancelWrite: CancelTimer | undefined
  private stopped = false
  /** Whether anything has changed since the last write began. */
  private hasUnsavedChanges = false
  private currentWrite: Promise<unknown> = Promise.resolve()
  private nextWrite: Promise<boolean> | undefined

  constructor(private readonly options: StateFileOptions) {}

  /** Returns the parsed content of the file, or undefined if there is no readable file. */
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

  /** Schedules a write after {@link WRITE_DELAY_MS}. */
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

  /**
   * Writes unsaved changes at once; calls during a write share the next one.
   * @returns whether all changes are on disk.
   */
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
      // Retried after the delay; until then a restart loads the previous content.
      this.hasUnsavedChanges = true
      logger.warn('file.not-kept', { file, reason: toErrorBody(error).message })
      return false
    }
  }
}

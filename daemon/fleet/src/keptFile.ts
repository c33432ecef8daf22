import type { CancelTimer, Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { FileSystem } from '@forkstage/storage'
import type { Millis } from '@forkstage/types'

/** Options of {@link KeptFile}. */
export interface KeptFileOptions {
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
const WRITE_AFTER_MS: Millis = 1_000

/** Keeps on disk what a machine would otherwise have to learn anew when it starts again. A hint: it may be a second old. */
export class KeptFile {
  private cancelWrite: CancelTimer | undefined
  private stopped = false
  /** Whether anything has changed since the write that is under way began. */
  private hasChanged = false
  private writing: Promise<unknown> = Promise.resolve()
  private next: Promise<boolean> | undefined

  constructor(private readonly options: KeptFileOptions) {}

  /** What was kept last; undefined where there is no file or it cannot be read. */
  async recall(): Promise<unknown> {
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
  noteChange(): void {
    this.hasChanged = true
    if (this.stopped || this.cancelWrite !== undefined) return
    this.cancelWrite = this.options.clock.after(WRITE_AFTER_MS, () => {
      void this.keep().finally(() => {
        this.cancelWrite = undefined
        if (this.hasChanged) this.noteChange()
      })
    })
  }

  /** Writes at once what was noted; says whether all of it is on disk. Calls that come meanwhile share the next write. */
  keep(): Promise<boolean> {
    this.next ??= this.writing.then(() => {
      this.next = undefined
      const written = this.hasChanged ? this.write() : Promise.resolve(true)
      this.writing = written
      return written
    })
    return this.next
  }

  stop(): void {
    this.stopped = true
    this.cancelWrite?.()
  }

  private async write(): Promise<boolean> {
    const { files, folder, file, content, logger } = this.options
    this.hasChanged = false
    try {
      await files.makeFolder(folder)
      await files.replace(`${folder}/${file}`, Buffer.from(JSON.stringify(content())))
      return true
    } catch (error) {
      // Tried again a moment later; until then a restart knows what was known before.
      this.hasChanged = true
      logger.warn('file.not-kept', { file, reason: toErrorBody(error).message })
      return false
    }
  }
}

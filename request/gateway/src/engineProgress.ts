import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { LostStreamTimes } from './reportStreamLoss'
import type { RelayJob, RelayParts } from './relayParts'

/** An engine that survives so long after the first event does not crash of beginning to write the answer. */
const MIN_WRITING_MS: Millis = 250

/** What the current engine of a stream has written of it. */
export class EngineProgress {
  /** The record of the engine when the request was sent; undefined before. */
  engine: RegisteredEndpoint | undefined
  private sentAt: Millis = 0
  private firstEventAt: Millis | undefined
  private isRecorded = false

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
  ) {}

  /** Starts anew for the engine that the request is sent to. */
  begin(engine: RegisteredEndpoint): void {
    this.engine = engine
    this.sentAt = this.parts.clock.now()
    this.firstEventAt = undefined
    this.isRecorded = false
  }

  recordEvents(): void {
    const now = this.parts.clock.now()
    this.firstEventAt ??= now
    if (now - this.firstEventAt >= MIN_WRITING_MS) this.recordWritten(this.firstEventAt)
  }

  /** Records the end of a complete answer. */
  recordEnd(): void {
    if (this.firstEventAt !== undefined) this.recordWritten(this.firstEventAt)
  }

  /**
   * Resolves once it is known whether the engine has crashed, if it was lost before its first event: the crash may decide
   * whether the request may be sent again.
   */
  async confirmLoss(): Promise<void> {
    if (this.engine === undefined || this.firstEventAt !== undefined) return
    await this.parts.crashes?.confirmed([this.engine.id])
  }

  /** Returns what a loss of the stream is judged by. */
  lossTimes(silentMs: Millis): LostStreamTimes {
    return { sentAt: this.sentAt, silentMs, hasBegun: this.firstEventAt !== undefined }
  }

  private recordWritten(sinceMs: Millis): void {
    if (this.isRecorded) return
    this.isRecorded = true
    const { request, service } = this.job
    const forMs = this.parts.clock.now() - sinceMs
    this.parts.crashes?.recordWritten(request.parts(service.name), forMs, service.name)
  }
}

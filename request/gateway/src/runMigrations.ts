import { delay } from '@forkstage/clock'
import type { AtHome } from '@forkstage/topology'
import { retryDelayMs } from './decideRetry'
import type { Attempt } from './engineStream'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead, Exchange } from './exchange'
import { RetainedRun } from './retainedRun'
import type { ModelPlace } from './modelPlacer'
import type { RelayJob, RelayParts } from './relayParts'
import { RunMigration } from './runMigration'
import type { CountedSending, SendCounter } from './sendCounter'
import { whyNotSend } from './sendRules'

/** What the moves of an answer need of its request. */
export interface MigrationContext {
  readonly isOver: boolean
  /** The head that the caller has got. */
  readonly head: AnswerHead | undefined
  /** The stream that is under way. */
  readonly exchange: Exchange | undefined
}

/** Where a stopped run goes on, with the sending that is drawn for it. */
export interface ResumeTarget {
  at: AtHome<PooledEndpoint>
  /** The engine that has the memory, and its name there. */
  source: PooledEndpoint
  handle: string
  sending: CountedSending
}

/** Moves the answer of one request from engine to engine, as whoever places wants. */
export class RunMigrations {
  private migration: RunMigration | undefined
  private sending: CountedSending | undefined
  /** The memory of the run, from its stop until an engine has taken it. */
  private retained: RetainedRun | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly sendCounter: SendCounter,
    private readonly context: MigrationContext,
  ) {}

  /** Copies what the run holds; once that is done, stops it and copies the rest. */
  async start(place: ModelPlace, to: AtHome<PooledEndpoint>): Promise<void> {
    const { context, parts, job } = this
    // The end of an answer without a length could not be told from the stop.
    if (this.migration !== undefined || !this.isRunning() || context.head?.isFramed !== true) return
    if (to === place.decode || to.endpoint.state !== 'ready') return
    // A move of its own choice is not what a cold engine's budget, or the rate that one names, is for.
    if (parts.cold?.isCold(to.endpoint.id) === true || parts.limits?.isLimited(to.endpoint.id) === true)
      return
    if (whyNotSend(parts, job, to.endpoint, 'decode') !== undefined) return
    const stream = context.exchange
    const migration = new RunMigration(parts, job.request.id, place.decode, to)
    this.migration = migration
    const isCopied = await migration.copy()
    // Also the rest must not be copied where the request must not go any more.
    const isAllowed = parts.pool.getWithinRegions(to.endpoint.id, job.homes()) !== undefined
    const isSame = this.isRunning() && context.exchange === stream && isAllowed
    this.sending = isCopied && isSame ? this.sendCounter.open('decode') : undefined
    if (this.sending !== undefined) return migration.stop()
    migration.release()
    migration.log(isCopied ? 'not needed' : 'not copied')
    this.migration = undefined
  }

  /** Whether the run was stopped from here and nothing has gone on from its memory since. */
  get isStopped(): boolean {
    return this.retained !== undefined
  }

  /**
   * Where the run goes on after its stream has ended, or after an engine has turned it away; waits where none that has its
   * memory may get it now. Undefined where nothing goes on from its memory.
   */
  async next(at: PooledEndpoint, attempt: Attempt): Promise<ResumeTarget | undefined> {
    if (this.migration?.hasStopped === true) await this.collectStopped(this.migration, attempt)
    else if (attempt.type === 'not-run') this.recordRefusal(at, attempt.isInstanceGone === true)
    // Whatever else became of a sending, its engine has taken the memory.
    else this.retained = undefined
    return this.retained === undefined ? undefined : this.resume(this.retained)
  }

  /** Ends what is left of a stopped run from whose memory nothing goes on. */
  abandon(): void {
    this.retained?.release()
    this.retained = undefined
    this.sending?.close('not-arrived')
    this.sending = undefined
  }

  /** Takes what the stop of a move has left. */
  private async collectStopped(migration: RunMigration, attempt: Attempt): Promise<void> {
    this.migration = undefined
    const stopped = await migration.stopped()
    // Without its engine's word the run may still be at work there: what must not run twice does not go on then.
    const isStopped = stopped?.isConfirmed === true || this.job.route.resumable
    const resumes = attempt.type === 'lost' && !this.context.isOver && isStopped
    migration.log(stopped?.isConfirmed !== true ? 'not stopped' : resumes ? 'moved' : 'not needed')
    this.retained = stopped && new RetainedRun(this.parts, this.job, stopped)
    if (!resumes || stopped === undefined) this.abandon()
  }

  /**
   * Draws one more sending for an engine that has the memory. Where the answer may be made anew, each of them is tried
   * once only: another engine may have room now. Where it may not, they are asked until the memory has lapsed.
   */
  private async resume(retained: RetainedRun): Promise<ResumeTarget | undefined> {
    const { resumable } = this.job.route
    for (let waits = 0; !this.context.isOver && !retained.isExhausted; waits += 1) {
      const at = retained.next()
      const sending = at && this.openSending()
      if (at !== undefined && sending !== undefined)
        return { at, source: retained.run.source, handle: retained.run.handle, sending }
      if (resumable) return undefined
      await delay(this.parts.clock, retryDelayMs(Math.max(waits, retained.rounds)))
      retained.startNextRound()
    }
    return undefined
  }

  private recordRefusal(at: PooledEndpoint, isInstanceGone: boolean): void {
    if (isInstanceGone) this.retained?.markGone(at)
  }

  private openSending(): CountedSending | undefined {
    const drawn = this.sending
    this.sending = undefined
    return drawn ?? this.sendCounter.open('decode')
  }

  private isRunning(): boolean {
    return !this.context.isOver && this.context.exchange !== undefined
  }
}

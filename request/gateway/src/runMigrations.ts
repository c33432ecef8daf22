import { delay } from '@forkstage/clock'
import type { InRegion } from '@forkstage/topology'
import { retryDelayMs } from './decideRetry'
import type { Attempt } from './engineStream'
import type { PooledEndpoint } from './pooledEndpoint'
import type { AnswerHead, Exchange } from './exchange'
import { RetainedRun } from './retainedRun'
import type { ModelPlace } from './modelPlacer'
import type { RelayJob, RelayParts } from './relayParts'
import { RunMigration } from './runMigration'
import type { CountedSending, SendCounter } from './sendCounter'
import { whyNotSend } from './sendRules'

/** The request that {@link RunMigrations} belong to. */
export interface MigrationContext {
  readonly isOver: boolean
  /** The head that the caller has received. */
  readonly head: AnswerHead | undefined
  /** The stream in progress. */
  readonly exchange: Exchange | undefined
}

/** Where a stopped run resumes, with the sending that is opened for it. */
export interface ResumeTarget {
  at: InRegion<PooledEndpoint>
  /** The engine that retains the KV cache, under `handle`. */
  source: PooledEndpoint
  handle: string
  sending: CountedSending
}

/** Migrates the run of one request between engines, as the leader directs. */
export class RunMigrations {
  private migration: RunMigration | undefined
  private sending: CountedSending | undefined
  /** The stopped run, until an engine has resumed it. */
  private retained: RetainedRun | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly sendCounter: SendCounter,
    private readonly context: MigrationContext,
  ) {}

  /** Copies the KV cache of the run, then stops the run and copies the rest. */
  async start(place: ModelPlace, to: InRegion<PooledEndpoint>): Promise<void> {
    const { context, parts, job } = this
    // Without a length or chunks, the end of the answer could not be told from the stop.
    if (this.migration !== undefined || !this.isRunning() || context.head?.isFramed !== true) return
    if (to === place.decode || to.endpoint.state !== 'ready') return
    // Optional migrations must not use up the budget of a cold engine or a rate that an engine names.
    if (parts.cold?.isCold(to.endpoint.id) === true || parts.limits?.isLimited(to.endpoint.id) === true)
      return
    if (whyNotSend(parts, job, to.endpoint, 'decode') !== undefined) return
    const stream = context.exchange
    const migration = new RunMigration(parts, job.request.id, place.decode, to)
    this.migration = migration
    const isCopied = await migration.copy()
    // The rest must not be copied to a region that may no longer serve the request.
    const isAllowed = parts.pool.getWithinRegions(to.endpoint.id, job.regions()) !== undefined
    const isSame = this.isRunning() && context.exchange === stream && isAllowed
    this.sending = isCopied && isSame ? this.sendCounter.open('decode') : undefined
    if (this.sending !== undefined) return migration.stop()
    migration.release()
    migration.log(isCopied ? 'not needed' : 'not copied')
    this.migration = undefined
  }

  /** Whether the run was stopped and has not resumed since. */
  get isStopped(): boolean {
    return this.retained !== undefined
  }

  /**
   * Returns where the run resumes after its stream has ended or an engine has rejected it, waiting while no engine with its
   * KV cache may get it. Undefined if it cannot resume from its KV cache.
   */
  async next(at: PooledEndpoint, attempt: Attempt): Promise<ResumeTarget | undefined> {
    if (this.migration?.hasStopped === true) await this.collectStopped(this.migration, attempt)
    else if (attempt.type === 'not-run') this.recordRefusal(at, attempt.isInstanceGone === true)
    // After any other result the engine has fetched the KV cache.
    else this.retained = undefined
    return this.retained === undefined ? undefined : this.resume(this.retained)
  }

  /** Releases a stopped run that does not resume, and the sending that was opened for it. */
  abandon(): void {
    this.retained?.release()
    this.retained = undefined
    this.sending?.close('not-arrived')
    this.sending = undefined
  }

  /** Waits for the stop of a migration and keeps the stopped run if it may resume. */
  private async collectStopped(migration: RunMigration, attempt: Attempt): Promise<void> {
    this.migration = undefined
    const stopped = await migration.stopped()
    // Without the engine's confirmation the run may still be active; one that must not run twice does not resume then.
    const isStopped = stopped?.isConfirmed === true || this.job.route.resumable
    const resumes = attempt.type === 'lost' && !this.context.isOver && isStopped
    migration.log(stopped?.isConfirmed !== true ? 'not stopped' : resumes ? 'moved' : 'not needed')
    this.retained = stopped && new RetainedRun(this.parts, this.job, stopped)
    if (!resumes || stopped === undefined) this.abandon()
  }

  /**
   * Opens a sending to an engine that has the KV cache. If the route is resumable, each of them is tried only once, since any
   * other engine may regenerate the answer. Otherwise they are retried until the KV cache has expired.
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
    if (isInstanceGone) this.retained?.exclude(at)
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

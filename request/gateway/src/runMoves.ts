import { delay } from '@forkstage/clock'
import type { AtHome } from '@forkstage/topology'
import { waitMs } from './afterTry'
import type { Attempt } from './engineStream'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead, Exchange } from './exchange'
import { KeptRun } from './keptRun'
import type { ModelPlace } from './modelPlacer'
import type { RelayJob, RelayParts } from './relayParts'
import { RunMove } from './runMove'
import type { CountedSending, SendCount } from './sendCount'
import { whyNotSend } from './sendRules'

/** What the moves of an answer need of its request. */
export interface MovingRun {
  readonly isOver: boolean
  /** The head that the caller has got. */
  readonly head: AnswerHead | undefined
  /** The stream that is under way. */
  readonly exchange: Exchange | undefined
}

/** Where a stopped run goes on, with the sending that is drawn for it. */
export interface NextRun {
  at: AtHome<PooledEndpoint>
  /** The engine that has the memory, and its name there. */
  source: PooledEndpoint
  handle: string
  sending: CountedSending
}

/** Moves the answer of one request from engine to engine, as whoever places wants. */
export class RunMoves {
  private move: RunMove | undefined
  private sending: CountedSending | undefined
  /** The memory of the run, from its stop until an engine has taken it. */
  private kept: KeptRun | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly count: SendCount,
    private readonly run: MovingRun,
  ) {}

  /** Copies what the run holds; once that is done, stops it and copies the rest. */
  async begin(place: ModelPlace, to: AtHome<PooledEndpoint>): Promise<void> {
    const { run, parts, job } = this
    // The end of an answer without a length could not be told from the stop.
    if (this.move !== undefined || !this.isRunning() || run.head?.isFramed !== true) return
    if (to === place.decode || to.endpoint.state !== 'ready') return
    // A move of its own choice is not what a cold engine's budget, or the rate that one names, is for.
    if (parts.cold?.isCold(to.endpoint.id) === true || parts.limits?.isLimited(to.endpoint.id) === true)
      return
    if (whyNotSend(parts, job, to.endpoint, 'decode') !== undefined) return
    const stream = run.exchange
    const move = new RunMove(parts, job.request.id, place.decode, to)
    this.move = move
    const isCopied = await move.copy()
    // Also the rest must not be copied where the request must not go any more.
    const isAllowed = parts.pool.getWithinRegions(to.endpoint.id, job.homes()) !== undefined
    const isSame = this.isRunning() && run.exchange === stream && isAllowed
    this.sending = isCopied && isSame ? this.count.open('decode') : undefined
    if (this.sending !== undefined) return move.stop()
    move.release()
    move.log(isCopied ? 'not needed' : 'not copied')
    this.move = undefined
  }

  /** Whether the run was stopped from here and nothing has gone on from its memory since. */
  get isStopped(): boolean {
    return this.kept !== undefined
  }

  /**
   * Where the run goes on after its stream has ended, or after an engine has turned it away; waits where none that has its
   * memory may get it now. Undefined where nothing goes on from its memory.
   */
  async next(at: PooledEndpoint, attempt: Attempt): Promise<NextRun | undefined> {
    if (this.move?.hasStopped === true) await this.takeStop(this.move, attempt)
    else if (attempt.type === 'not-run') this.noteRefused(at, attempt.isGone === true)
    // Whatever else became of a sending, its engine has taken the memory.
    else this.kept = undefined
    return this.kept === undefined ? undefined : this.goOn(this.kept)
  }

  /** Ends what is left of a stopped run from whose memory nothing goes on. */
  giveUp(): void {
    this.kept?.release()
    this.kept = undefined
    this.sending?.close('not-arrived')
    this.sending = undefined
  }

  /** Takes what the stop of a move has left. */
  private async takeStop(move: RunMove, attempt: Attempt): Promise<void> {
    this.move = undefined
    const stopped = await move.stopped()
    // Without its engine's word the run may still be at work there: what must not run twice does not go on then.
    const isStopped = stopped?.isProved === true || this.job.route.resumable
    const goesOn = attempt.type === 'lost' && !this.run.isOver && isStopped
    move.log(stopped?.isProved !== true ? 'not stopped' : goesOn ? 'moved' : 'not needed')
    this.kept = stopped && new KeptRun(this.parts, this.job, stopped)
    if (!goesOn || stopped === undefined) this.giveUp()
  }

  /**
   * Draws one more sending for an engine that has the memory. Where the answer may be made anew, each of them is tried
   * once only: another engine may have room now. Where it may not, they are asked until the memory has lapsed.
   */
  private async goOn(kept: KeptRun): Promise<NextRun | undefined> {
    const { resumable } = this.job.route
    for (let waits = 0; !this.run.isOver && !kept.isLost; waits += 1) {
      const at = kept.next()
      const sending = at && this.takeSending()
      if (at !== undefined && sending !== undefined)
        return { at, source: kept.run.source, handle: kept.run.handle, sending }
      if (resumable) return undefined
      await delay(this.parts.clock, waitMs(Math.max(waits, kept.rounds)))
      kept.startOver()
    }
    return undefined
  }

  private noteRefused(at: PooledEndpoint, isGone: boolean): void {
    if (isGone) this.kept?.noteGone(at)
  }

  private takeSending(): CountedSending | undefined {
    const drawn = this.sending
    this.sending = undefined
    return drawn ?? this.count.open('decode')
  }

  private isRunning(): boolean {
    return !this.run.isOver && this.run.exchange !== undefined
  }
}

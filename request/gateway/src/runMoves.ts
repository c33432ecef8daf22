import type { AtHome } from '@forkstage/topology'
import type { Attempt } from './engineStream'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead, Exchange } from './exchange'
import type { ModelPlace } from './modelPlacer'
import { releaseHandle } from './releaseHandle'
import type { RelayJob, RelayParts } from './relayParts'
import { RunMove, type StoppedRun } from './runMove'
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
    // A move of its own choice is not what a cold engine's budget is for.
    if (parts.cold?.isCold(to.endpoint.id) === true) return
    if (whyNotSend(parts, job, to.endpoint, 'decode') !== undefined) return
    const stream = run.exchange
    const move = new RunMove(parts, job.request.id, place.decode, to)
    this.move = move
    const isCopied = await move.copy()
    // Also the rest must not be copied where the request must not go any more.
    const isAllowed = parts.pool.atHome(to.endpoint.id, job.homes()) !== undefined
    const isSame = this.isRunning() && run.exchange === stream && isAllowed
    this.sending = isCopied && isSame ? this.count.open('decode') : undefined
    if (this.sending !== undefined) return move.stop()
    move.release()
    move.log(isCopied ? 'not needed' : 'not copied')
    this.move = undefined
  }

  /** Where the run goes on after its stream has ended; undefined where it does not. */
  async next(attempt: Attempt): Promise<NextRun | undefined> {
    const { move, sending } = this
    if (move?.hasStopped !== true || sending === undefined) return undefined
    this.move = undefined
    this.sending = undefined
    const stopped = await move.stopped()
    const goesOn = attempt.type === 'lost' && !this.run.isOver
    const at = stopped && goesOn ? this.whereOn(stopped) : undefined
    move.log(stopped === undefined ? 'not stopped' : goesOn ? 'moved' : 'not needed')
    if (stopped !== undefined && at !== undefined && goesOn)
      return { at, source: stopped.source, handle: stopped.handle, sending }
    sending.close('not-arrived')
    if (stopped !== undefined) releaseHandle(this.parts, stopped.source.endpoint.address, stopped.handle)
    return undefined
  }

  /** Where a stopped run can go on: what has become known since the copy began binds here too. */
  private whereOn(stopped: StoppedRun): AtHome<PooledEndpoint> | undefined {
    return [stopped.copiedTo, whereReady(stopped)].find(
      (one) => one !== undefined && whyNotSend(this.parts, this.job, one.endpoint, 'decode') === undefined,
    )
  }

  private isRunning(): boolean {
    return !this.run.isOver && this.run.exchange !== undefined
  }
}

/** The engine where the run was, unless it takes no work any more. */
function whereReady({ source }: StoppedRun): AtHome<PooledEndpoint> | undefined {
  return source.endpoint.state === 'ready' ? source : undefined
}

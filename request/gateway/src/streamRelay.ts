import { delay } from '@forkstage/clock'
import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import { afterTry, type AfterTry } from './afterTry'
import { cancelWhenEnded } from './cancelWhenEnded'
import { withoutFirstDuplicate } from './callerRequest'
import { CallerStream } from './callerStream'
import {
  EngineStream,
  type Attempt,
  type KvSource,
  type StreamOwner,
  type StreamResult,
} from './engineStream'
import type { StreamEvent } from './eventSplitter'
import { openExchange, type AnswerHead, type Exchange } from './exchange'
import type { PooledEndpoint, SendOutcome } from './endpointPool'
import type { ModelPlace, ModelWork } from './modelPlacer'
import { modelWork } from './modelWork'
import { noteLost } from './noteLost'
import { PromptReading, type PromptReader } from './promptReading'
import { answerFailure, answerRefusal, passFailure, type OwnResult } from './relayAnswers'
import {
  ANSWER_MARGIN_MS,
  CONNECT_MS,
  headersFor,
  type RelayJob,
  type RelayParts,
  type RelayResult,
  type SendRecord,
} from './relayParts'
import { RunMoves, type MovingRun } from './runMoves'
import { readVerdict } from './readVerdict'
import { SendCount, type CountedSending } from './sendCount'
import { ENDS_ENDPOINTS } from './sendRules'
import { OUTSIDE_REGIONS_RETRY_MS, isOnlyOutsideRegions, OUTSIDE_REGIONS } from './regionRule'
import { comeBackMs, reasonOf, type Tried, type Unanswered } from './streamTry'
import { waitForDecodeEngine } from './waitForDecodeEngine'

const OK = 200
const NOT_READ = 'the prompt was not read'

/** Relays a streaming request: a place, the prefill step, the stream, and another engine where allowed. */
export async function relayStream(parts: RelayParts, job: RelayJob): Promise<RelayResult> {
  return new StreamRun(parts, job).relay()
}

/** Why an answer does not go on that was stopped to go on elsewhere. */
const STOPPED_IN_VAIN = 'nothing goes on from the memory of the stopped run'

class StreamRun implements StreamOwner, PromptReader, MovingRun {
  readonly sends: SendRecord[] = []
  readonly except = new Set<string>()
  exchange: Exchange | undefined
  isOver = false
  private mayHaveRun = 0
  private readonly caller: CallerStream
  /** Events of the engine at work now. */
  private madeEvents = 0
  /** Waits in a row for a way to go on. */
  private waits = 0
  /** When the request was sent to it. */
  private sentAt: Millis = 0
  private readonly count: SendCount
  private readonly prompt: PromptReading
  private readonly moves: RunMoves

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
  ) {
    this.count = new SendCount(parts.allowance, job.service.name)
    this.prompt = new PromptReading(parts, job, this.count, this)
    this.moves = new RunMoves(parts, job, this.count, this)
    this.caller = new CallerStream(job, parts.clock, parts.wire, {
      pause: () => this.exchange?.pause(),
      resume: () => this.exchange?.resume(),
    })
  }

  async relay(): Promise<RelayResult> {
    const { clock } = this.parts
    const { request, endsAt } = this.job
    request.onDisconnect(() => this.finish('the caller has gone'))
    const cancelLimit = clock.after(Math.max(0, endsAt - clock.now() - ANSWER_MARGIN_MS), () =>
      this.answerLate(),
    )
    const result = await this.tryEngines()
    cancelLimit()
    this.isOver = true
    this.prompt.release()
    const { firstMs: firstEventMs, longestMs: longestPauseMs } = this.caller.pauses
    return { ...result, sends: this.sends, firstEventMs, longestPauseMs }
  }

  private async tryEngines(): Promise<OwnResult> {
    for (let refusals = 0; ;) {
      const { request, service } = this.job
      const refused = this.parts.crashes?.refusal(request.content, service.name)
      if (refused !== undefined) return this.answerWithout(ENDS_ENDPOINTS, refused.leftMs)
      const attempt = await this.tryOnce()
      if (attempt.type === 'over' || this.isOver) return this.caller.endedResult()
      if (attempt.type === 'done' || attempt.type === 'passed')
        return { status: attempt.type === 'done' ? OK : attempt.status, outcome: 'answered' }
      if (attempt.type === 'not-run') refusals += 1
      const next = this.afterTry(attempt, refusals)
      if (next.type === 'end') return this.answerWithout(reasonOf(attempt), comeBackMs(attempt))
      if (next.afterMs > 0) await this.waitToGoOn(attempt, next.afterMs)
      if (this.isOver) return this.caller.endedResult()
    }
  }

  /** Asks for a place and has the answer made there. */
  private async tryOnce(): Promise<Tried> {
    const { pool, placer, clock } = this.parts
    await waitForDecodeEngine(this.parts, this.job)
    if (isOnlyOutsideRegions(pool, this.job, 'decode'))
      return { type: 'refused', reason: OUTSIDE_REGIONS, retryAfterMs: OUTSIDE_REGIONS_RETRY_MS }
    this.job.placedAt = clock.now()
    const answer = await placer.place(this.work())
    if (answer.type === 'refused') return answer
    if (!this.isOver) return this.runAt(answer.place)
    answer.place.release('cancelled', 0, 0)
    return { type: 'over' }
  }

  private afterTry(attempt: Unanswered, refusals: number): AfterTry {
    const { route, endsAt } = this.job
    return afterTry(attempt.type === 'denied' ? { type: 'refused' } : attempt, {
      hasBegun: this.hasBegun,
      isResumable: route.resumable,
      leftMs: endsAt - this.parts.clock.now(),
      refusals,
      hasEngineLeft: this.mayHaveRun < route.attempts,
      hasSendingLeft: () => this.count.isLeft(),
      waits: this.waits,
    })
  }

  /** An answer that has begun was turned away: it is still owed. */
  private async waitToGoOn(attempt: Unanswered, afterMs: Millis): Promise<void> {
    const { clock, logger } = this.parts
    const leftMs = Math.round(this.job.endsAt - clock.now())
    const line = { request: this.job.request.id, reason: reasonOf(attempt), leftMs }
    // One line a row of waits: the belief changes, not each try.
    if (this.waits === 0) logger.info('answer.waits', line)
    this.waits += 1
    // Where there is no other left, those that turned it away may take it next time.
    if (attempt.type === 'refused') this.except.clear()
    await delay(clock, afterMs)
  }

  private work(): ModelWork {
    const work = modelWork(this.parts, this.job, this.caller.pauses)
    const found = { except: this.except, isPrefilled: this.prompt.isUsable() }
    // One that has begun is not refused early: its caller has nobody else to go to.
    return this.hasBegun ? { ...work, ...found, isBegun: true, promptMs: 0 } : { ...work, ...found }
  }

  private async runAt(place: ModelPlace): Promise<Attempt> {
    const startedAt = this.parts.clock.now()
    // Drawn before the prompt is read, which would be in vain without it.
    const drawn = this.count.isRepeat ? this.count.open('decode') : undefined
    if (this.count.isRepeat && drawn === undefined) return this.unused(place, { type: 'denied' })
    const step = await this.prompt.readAt(place)
    if (this.isOver) return this.unused(place, { type: 'over' }, drawn)
    // Whoever places knows whether another engine reads it, or whether the decode engine can do so itself.
    const withheld = step === 'not-read' ? NOT_READ : this.prompt.whyNotDecode(place.decode)
    if (withheld !== undefined)
      return this.unused(place, { type: 'not-run', arrived: false, reason: withheld }, drawn)
    this.madeEvents = 0
    const sending = drawn ?? this.count.open('decode')
    if (sending === undefined) return this.unused(place, { type: 'denied' })
    // The place is used; what the run does later hangs on no promise of it.
    this.job.placedAt = undefined
    place.madeTokens = () => this.madeTokens()
    place.moveTo = (to) => void this.moves.begin(place, to)
    const stall = this.watchStall(place)
    const { attempt, note } = await this.streamOn(
      place,
      await this.streamAt(place.decode, sending, this.prompt.held),
    )
    stall.cancel()
    const tookMs = this.parts.clock.now() - startedAt
    const used: SendOutcome = stall.hasLeft() ? 'silent' : note
    place.release(this.isOver && used !== 'ok' ? 'cancelled' : used, tookMs, this.madeTokens())
    this.sends.push({
      to: place.decode.endpoint.id,
      step: 'decode',
      outcome: note,
      tookMs: Math.round(tookMs),
    })
    return attempt
  }

  /** Gives a place back at which no engine was asked to make the answer. */
  private unused(place: ModelPlace, attempt: Attempt, drawn?: CountedSending): Attempt {
    place.release('cancelled', 0, 0)
    drawn?.close('not-arrived')
    return attempt
  }

  /** Goes on at other engines for as long as the run is moved. */
  private async streamOn(place: ModelPlace, ended: StreamResult): Promise<StreamResult> {
    const { attempt, note } = ended
    const next = await this.moves.next(place.decode, attempt)
    // An engine that was told to stop has not run it in vain, and goes on counting as the same run.
    if (attempt.type === 'lost' && this.moves.isStopped) this.mayHaveRun -= 1
    if (next === undefined) return this.endHere(place, ended)
    const from = place.decode
    const outcome = attempt.type === 'not-run' ? note : 'moved'
    this.sends.push({ to: from.endpoint.id, step: 'decode', outcome, tookMs: 0 })
    if (next.at !== from) place.reportMoved(next.at)
    const { at, sending, source, handle } = next
    return this.streamOn(place, await this.streamAt(at, sending, { at: source, handle }))
  }

  /** Nothing goes on from the memory of the run, if it was stopped. */
  private endHere(place: ModelPlace, ended: StreamResult): StreamResult {
    if (!this.moves.isStopped) {
      this.noteLoss(place.decode, ended)
      return ended
    }
    this.moves.giveUp()
    if (ended.attempt.type !== 'lost') return ended
    // The engine did as it was told: that is no failure of its own.
    return { attempt: { type: 'not-run', arrived: true, reason: STOPPED_IN_VAIN }, note: 'cancelled' }
  }

  /** An engine that was told to stop a run that moves has lost nothing; any other that ended it early may have crashed. */
  private noteLoss(at: PooledEndpoint, { attempt }: StreamResult): void {
    const now = this.parts.clock.now()
    const afterMs = now - this.sentAt
    if (attempt.type === 'lost') noteLost(this.parts, this.job, at, afterMs)
    if (attempt.type !== 'over') return
    noteLost(this.parts, this.job, at, afterMs, Math.min(afterMs, this.caller.pauses.silentMs(now)))
  }

  /** Tells the placement of an engine that has made nothing for too long, and leaves it where that is allowed. */
  private watchStall(place: ModelPlace): { cancel: () => void; hasLeft: () => boolean } {
    const { route } = this.job
    let hasLeft = false
    const cancel = this.parts.clock.after(route.targetMs, () => {
      if (this.madeEvents > 0 || this.isOver) return
      place.reportStalled(route.targetMs)
      hasLeft = route.resumable && this.mayHaveRun + 1 < route.attempts
      if (!hasLeft) return
      this.except.add(place.decode.endpoint.id)
      this.exchange?.cancel('no event in time')
    })
    return { cancel, hasLeft: () => hasLeft }
  }

  private madeTokens(): number {
    return this.madeEvents * (this.job.service.engine?.tokensPerEvent ?? 1)
  }

  private streamAt(
    to: AtHome<PooledEndpoint>,
    sending: CountedSending,
    source?: KvSource,
  ): Promise<StreamResult> {
    const { parts, job } = this
    const { headers } = parts.wire
    const extra: string[] = []
    if (source !== undefined)
      extra.push(headers.kvSource, parts.wire.kvSource(source.at.endpoint.address, source.handle))
    const { lastEventId } = this.caller
    if (this.hasBegun && lastEventId !== undefined) extra.push(headers.lastEventId, String(lastEventId))
    const rawHeaders = headersFor(parts, job, to, extra)
    const stream = new EngineStream(this, to)
    this.sentAt = parts.clock.now()
    return new Promise((resolve) => {
      const exchange = openExchange({
        address: to.endpoint.address,
        method: job.request.method,
        path: job.request.path,
        rawHeaders: this.hasBegun ? withoutFirstDuplicate(rawHeaders, headers.lastEventId) : rawHeaders,
        body: job.request.body,
        connectMs: CONNECT_MS,
        clock: parts.clock,
        onHead: (head) => stream.takeHead(head),
        onData: (chunk) => stream.takeData(chunk),
        onEnd: (end) => {
          this.exchange = undefined
          unwatch()
          sending.close(end.complete || end.sent ? 'taken' : 'not-arrived')
          const result = this.isOver
            ? { attempt: { type: 'over' as const }, note: stream.noteIfOver() }
            : stream.end(end)
          if (result.attempt.type === 'not-run') this.except.add(to.endpoint.id)
          else this.prompt.noteTaken()
          resolve(result)
        },
      })
      this.exchange = exchange
      const unwatch = cancelWhenEnded(parts, to, exchange)
    })
  }

  judge(head: AnswerHead, at: PooledEndpoint) {
    return readVerdict(this.parts, this.job, at, head)
  }

  noteMayHaveRun(): void {
    this.mayHaveRun += 1
  }

  get hasBegun(): boolean {
    return this.caller.hasBegun
  }

  get head() {
    return this.caller.head
  }

  passEvents(head: AnswerHead, events: StreamEvent[]): void {
    this.madeEvents += events.length
    this.waits = 0
    this.caller.forwardEvents(head, events)
  }

  passEnd = (head: AnswerHead, rest: Buffer): void => this.caller.forwardEnd(head, rest)

  passFailure = (head: AnswerHead, body: Buffer): number => passFailure(this.job.request.response, head, body)

  private answerWithout(reason: string, retryAfterMs: Millis): OwnResult {
    const { response } = this.job.request
    if (this.head !== undefined) return this.caller.cut(this.head, reason)
    if (this.mayHaveRun > 0) return answerFailure(response, 502, reason)
    return answerRefusal(response, reason, retryAfterMs)
  }

  private answerLate(): void {
    if (this.isOver) return
    if (this.exchange !== undefined && !this.hasBegun)
      answerFailure(this.job.request.response, 504, 'the time is up')
    else this.answerWithout('the time is up', comeBackMs())
    this.finish('the time is up')
  }

  private finish(reason: string): void {
    this.isOver = true
    this.exchange?.cancel(reason)
  }
}

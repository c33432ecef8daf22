import { delay } from '@forkstage/clock'
import type { InRegion } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { HeldAnswer } from './answerMemory'
import { bindStream } from './bindStream'
import { decideRetry, type RetryDecision } from './decideRetry'
import { attributeLoss } from './attributeLoss'
import { withoutFirstDuplicate } from './callerRequest'
import { CallerStream } from './callerStream'
import { EngineProgress } from './engineProgress'
import {
  EngineStream,
  type Attempt,
  type KvSource,
  type StreamContext,
  type StreamResult,
} from './engineStream'
import type { StreamEvent } from './eventSplitter'
import { openExchange, type AnswerHead, type Exchange } from './exchange'
import { PartGuard } from './partGuard'
import type { PooledEndpoint } from './pooledEndpoint'
import type { SendOutcome } from './sendOutcome'
import type { ModelPlace, ModelWork } from './modelPlacer'
import { modelWork } from './modelWork'
import { releaseUnused } from './releaseUnused'
import { reportStreamLoss } from './reportStreamLoss'
import { PromptPrefill, type PrefillContext } from './promptPrefill'
import { answerFailure, answerRefusal, forwardFailure, type OwnResult } from './relayAnswers'
import {
  ANSWER_MARGIN_MS,
  CONNECT_MS,
  headersFor,
  sendRecord,
  type RelayJob,
  type RelayParts,
  type RelayResult,
  type SendRecord,
} from './relayParts'
import { RunMigrations, type MigrationContext } from './runMigrations'
import { readVerdict } from './readVerdict'
import { SendCounter, type CountedSending } from './sendCounter'
import { ENDS_ENDPOINTS, whyNoLongerSend } from './sendRules'
import { OUTSIDE_REGIONS_RETRY_MS, isOnlyOutsideRegions, OUTSIDE_REGIONS } from './regionRule'
import { sourceOf } from './sourceOf'
import { NOT_RESUMED, retryAfterOf, reasonOf, type AttemptResult, type FailedAttempt } from './streamAttempt'
import { LEAVING_RETRY_MS, OUTLASTS_STOP } from './stopAdmission'
import { waitForDecodeEngine } from './waitForDecodeEngine'
import { streamHeaders } from './streamHeaders'
import { toFailure } from './toFailure'
import { watchExchange } from './watchExchange'
import { watchStall } from './watchStall'

const OK = 200
const PROMPT_NOT_READ = 'the prompt was not read'

/** Relays a streaming request: placement, prefill step, stream, and other engines after a failure if allowed. */
export async function relayStream(parts: RelayParts, job: RelayJob): Promise<RelayResult> {
  return new StreamRun(parts, job).relay()
}

class StreamRun implements StreamContext, PrefillContext, MigrationContext {
  readonly sends: SendRecord[] = []
  readonly except = new Set<string>()
  exchange: Exchange | undefined
  private held: HeldAnswer | undefined
  isOver = false
  private possibleRuns = 0
  private readonly caller: CallerStream
  /** Events from the current engine. */
  private eventCount = 0
  /** Consecutive waits before another attempt, without an event in between. */
  private waits = 0
  private readonly progress: EngineProgress
  private readonly sendCounter: SendCounter
  private readonly prompt: PromptPrefill
  private readonly migrations: RunMigrations
  private readonly partGuard: PartGuard

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
  ) {
    this.sendCounter = new SendCounter(parts.retryBudget, job.service.name)
    this.progress = new EngineProgress(parts, job)
    this.partGuard = new PartGuard(parts, job, () => this.isOver)
    this.prompt = new PromptPrefill(parts, job, this.sendCounter, this)
    this.migrations = new RunMigrations(parts, job, this.sendCounter, this)
    this.caller = new CallerStream(job, parts.clock, parts.wire, {
      pause: () => this.exchange?.pause('caller'),
      resume: () => this.exchange?.resume('caller'),
    })
  }

  async relay(): Promise<RelayResult> {
    const { clock } = this.parts
    const { request, endsAt } = this.job
    request.onDisconnect(() => this.finish('the caller has gone'))
    const limitMs = Math.max(0, endsAt - clock.now() - ANSWER_MARGIN_MS)
    const cancelLimit = clock.after(limitMs, () => this.answerLate())
    const result = await this.tryEngines()
    cancelLimit()
    this.isOver = true
    this.partGuard.end()
    this.prompt.release()
    const { firstMs: firstEventMs, longestMs: longestPauseMs } = this.caller.pauses
    return { ...result, sends: this.sends, firstEventMs, longestPauseMs }
  }

  private async tryEngines(): Promise<OwnResult> {
    for (let refusals = 0; ;) {
      const refused = await this.partGuard.acquire()
      if (refused !== undefined)
        return { ...this.endWithoutAnswer(ENDS_ENDPOINTS, refused.leftMs), part: refused.part }
      const attempt = await this.attemptOnce()
      if (attempt.type === 'over' || this.isOver) return this.caller.endedResult()
      if (attempt.type === 'done' || attempt.type === 'passed')
        return { status: attempt.type === 'done' ? OK : attempt.status, outcome: 'answered' }
      if (attempt.type === 'not-run') refusals += 1
      const next = this.decideRetry(attempt, refusals)
      if (next.type === 'end') return this.endWithoutAnswer(reasonOf(attempt), retryAfterOf(attempt))
      if (attempt.type === 'lost') await this.progress.confirmLoss()
      if (next.afterMs > 0) await this.waitBeforeRetry(attempt, next.afterMs)
      if (this.isOver) return this.caller.endedResult()
    }
  }

  /** Requests a placement and runs the request there. */
  private async attemptOnce(): Promise<AttemptResult> {
    const { pool, placer, clock } = this.parts
    if (this.job.stop?.isTooLateToBegin() === true)
      return { type: 'refused', reason: OUTLASTS_STOP, retryAfterMs: LEAVING_RETRY_MS }
    await waitForDecodeEngine(this.parts, this.job)
    if (isOnlyOutsideRegions(pool, this.job, 'decode'))
      return { type: 'refused', reason: OUTSIDE_REGIONS, retryAfterMs: OUTSIDE_REGIONS_RETRY_MS }
    this.job.placedAt = clock.now()
    const answer = await placer.place(this.work())
    if (answer.type === 'refused') return answer
    if (!this.isOver) return this.runAtPlace(answer.place)
    answer.place.release('cancelled', 0, 0)
    return { type: 'over' }
  }

  private decideRetry(attempt: FailedAttempt, refusals: number): RetryDecision {
    const { route, endsAt } = this.job
    return decideRetry(toFailure(this.parts, this.job, attempt), {
      hasBegun: this.hasBegun,
      isResumable: route.resumable,
      leftMs: endsAt - this.parts.clock.now(),
      refusals,
      hasEngineLeft: this.possibleRuns < route.attempts,
      hasSendingLeft: () => this.sendCounter.isLeft(),
      waits: this.waits,
    })
  }

  /** Waits before the next attempt of an answer that has begun. */
  private async waitBeforeRetry(attempt: FailedAttempt, afterMs: Millis): Promise<void> {
    const { clock, logger } = this.parts
    const leftMs = Math.round(this.job.endsAt - clock.now())
    const line = { request: this.job.request.id, reason: reasonOf(attempt), leftMs }
    // Logs once per sequence of waits.
    if (this.waits === 0) logger.info('answer.waits', line)
    this.waits += 1
    // If no other engine is left, those that rejected the request may accept it next time.
    if (attempt.type === 'refused') this.except.clear()
    await delay(clock, afterMs)
  }

  private work(): ModelWork {
    const isPrefilled = this.prompt.isUsable()
    const { except, hasBegun } = this
    return modelWork(this.parts, this.job, this.caller.pauses, { except, isPrefilled, hasBegun })
  }

  private async runAtPlace(place: ModelPlace): Promise<Attempt> {
    const startedAt = this.parts.clock.now()
    // Opened before the prefill step, which would be wasted without a sending to the decode engine.
    const drawn = this.sendCounter.isRepeat ? this.sendCounter.open('decode') : undefined
    if (this.sendCounter.isRepeat && drawn === undefined) return releaseUnused(place, { type: 'denied' })
    const step = await this.prompt.prefillAt(place)
    if (this.isOver) return releaseUnused(place, { type: 'over' }, drawn)
    // After a failed prefill the leader decides again which engine prefills the prompt.
    const withheld = step === 'not-read' ? PROMPT_NOT_READ : this.prompt.whyNotDecode(place.decode)
    if (withheld !== undefined)
      return releaseUnused(place, { type: 'not-run', arrived: false, reason: withheld }, drawn)
    this.eventCount = 0
    const sending = drawn ?? this.sendCounter.open('decode')
    if (sending === undefined) return releaseUnused(place, { type: 'denied' })
    // The placement is used up; a later suspension does not affect the run.
    this.job.placedAt = undefined
    place.madeTokens = () => this.madeTokens()
    place.moveTo = (to) => void this.migrations.start(place, to)
    const stall = watchStall(this.parts, this.job.route, place, {
      isSilent: () => this.eventCount === 0 && !this.isOver,
      hasEngineLeft: () => this.possibleRuns + 1 < this.job.route.attempts,
      abandon: () => {
        this.except.add(place.decode.endpoint.id)
        this.exchange?.cancel('no event in time')
      },
    })
    const { attempt, sendOutcome } = await this.followMigrations(
      place,
      await this.streamAt(place.decode, sending, this.prompt.held),
    )
    stall.cancel()
    const tookMs = this.parts.clock.now() - startedAt
    const used: SendOutcome = stall.hasLeft() ? 'silent' : sendOutcome
    place.release(this.isOver && used !== 'ok' ? 'cancelled' : used, tookMs, this.madeTokens())
    this.sends.push(sendRecord(this.job, place.decode, 'decode', sendOutcome, tookMs))
    return attempt
  }

  /** Resumes the run at other engines for as long as it is migrated. */
  private async followMigrations(place: ModelPlace, ended: StreamResult): Promise<StreamResult> {
    const { attempt, sendOutcome } = ended
    const next = await this.migrations.next(place.decode, attempt)
    // A stopped engine does not count: the run that resumes elsewhere is the same run.
    if (attempt.type === 'lost' && this.migrations.isStopped) this.possibleRuns -= 1
    if (next === undefined) return this.finishStream(place, ended)
    const from = place.decode
    const outcome = attempt.type === 'not-run' ? sendOutcome : 'moved'
    this.sends.push(sendRecord(this.job, from, 'decode', outcome, 0))
    if (next.at !== from) place.reportMoved(next.at)
    const { at, sending, source, handle } = next
    return this.followMigrations(place, await this.streamAt(at, sending, { at: source, handle }))
  }

  /** Ends a stream that does not resume from its KV cache. */
  private finishStream(place: ModelPlace, ended: StreamResult): StreamResult {
    if (!this.migrations.isStopped) {
      const silentMs = this.caller.pauses.silentMs(this.parts.clock.now())
      reportStreamLoss(this.parts, this.job, place.decode, ended, this.progress.lossTimes(silentMs))
      return ended
    }
    this.migrations.abandon()
    if (ended.attempt.type !== 'lost') return ended
    // The engine stopped as requested, which is no failure of the engine.
    return { attempt: { type: 'not-run', arrived: true, reason: NOT_RESUMED }, sendOutcome: 'cancelled' }
  }

  private madeTokens(): number {
    return this.eventCount * (this.job.service.engine?.tokensPerEvent ?? 1)
  }

  private streamAt(
    to: InRegion<PooledEndpoint>,
    sending: CountedSending,
    source?: KvSource,
  ): Promise<StreamResult> {
    const { parts, job } = this
    const resumeAfter = this.hasBegun ? this.caller.lastEventId : undefined
    const rawHeaders = headersFor(parts, job, to, streamHeaders(parts.wire, { source, resumeAfter }))
    const stream = new EngineStream(this, to, this.parts.clock)
    this.progress.begin(to.endpoint)
    return new Promise((resolve) => {
      const exchange = openExchange({
        address: to.endpoint.address,
        method: job.request.method,
        path: job.request.path,
        rawHeaders: this.hasBegun
          ? withoutFirstDuplicate(rawHeaders, parts.wire.headers.lastEventId)
          : rawHeaders,
        body: job.request.body,
        connectMs: CONNECT_MS,
        dial: parts.dialer?.dial,
        whyNoLongerSend: () =>
          whyNoLongerSend(parts, { ...job, retainingEngine: source?.at.endpoint.id }, to.endpoint, 'decode'),
        clock: parts.clock,
        onHead: (head) => stream.onHead(head),
        onData: (chunk) => stream.onData(chunk),
        onEnd: (end) => {
          this.exchange = undefined
          this.held?.release()
          unwatch()
          sending.close(end.complete || end.sent ? 'taken' : 'not-arrived')
          const result = this.isOver
            ? { attempt: { type: 'over' as const }, sendOutcome: stream.outcomeIfCancelled() }
            : stream.end(end)
          if (result.attempt.type === 'not-run') this.except.add(to.endpoint.id)
          else this.prompt.markTaken()
          resolve(this.migrations.isStopped ? result : attributeLoss(parts, to, result, end))
        },
      })
      this.exchange = exchange
      this.held = parts.answerMemory.open(sourceOf(exchange))
      const unwatch = watchExchange(parts, to, exchange, {
        patienceMs: job.route.targetMs,
        mayRepeat: () => job.route.resumable && this.possibleRuns + 1 < job.route.attempts,
      })
    })
  }

  judge(head: AnswerHead, at: PooledEndpoint) {
    return readVerdict(this.parts, this.job, at, head)
  }

  hold = (bytes: number): void => this.held?.hold(bytes)
  stopEngine = (reason: string): void => this.exchange?.cancel(reason)

  countPossibleRun(): void {
    this.possibleRuns += 1
  }

  get hasBegun(): boolean {
    return this.caller.hasBegun
  }

  get head() {
    return this.caller.head
  }

  forwardEvents(head: AnswerHead, events: StreamEvent[]): void {
    this.eventCount += events.length
    this.progress.recordEvents()
    this.waits = 0
    if (!this.hasBegun) bindStream(this.parts, this.job, this.progress.engine!)
    this.caller.forwardEvents(head, events)
  }

  forwardEnd(head: AnswerHead, rest: Buffer): void {
    this.progress.recordEnd()
    this.caller.forwardEnd(head, rest)
  }

  forwardFailure = (head: AnswerHead, parts: Buffer[]): number =>
    forwardFailure(this.job.request.response, head, parts)

  private endWithoutAnswer(reason: string, retryAfterMs: Millis): OwnResult {
    const { response } = this.job.request
    if (this.head !== undefined) return this.caller.cut(this.head, reason)
    if (this.possibleRuns > 0) return answerFailure(response, 502, reason)
    return answerRefusal(response, reason, retryAfterMs)
  }

  private answerLate(): void {
    if (this.isOver) return
    if (this.exchange !== undefined && !this.hasBegun)
      answerFailure(this.job.request.response, 504, 'the time is up')
    else this.endWithoutAnswer('the time is up', retryAfterOf())
    this.finish('the time is up')
  }

  private finish(reason: string): void {
    this.isOver = true
    this.exchange?.cancel(reason)
  }
}

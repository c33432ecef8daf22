import { nameOf } from '@forkstage/directory'
import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import { dropHeaders, single, withoutFirst } from './callerRequest'
import { EventPauses } from './eventPauses'
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
import { judgeAnswer } from './judgeAnswer'
import type { ModelPlace, ModelWork } from './modelPlacer'
import { modelWork } from './modelWork'
import { noteLost } from './noteLost'
import { endWithConnection } from './ownAnswer'
import { PromptReading, type PromptReader } from './promptReading'
import { answerFailure, answerRefusal, CALLER_GONE, passFailure, type OwnResult } from './relayAnswers'
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
import { SendCount, type CountedSending } from './sendCount'
import { ENDS_ENDPOINTS } from './sendRules'
import { AWAY_COME_BACK_MS, isAwayOnly, NOT_AT_HOME } from './homeRule'
import { waitFor } from './waitFor'

const MAX_REFUSALS = 3
const COME_BACK_MS = 600
const WAIT_FOR_ENGINES_MS = 250

/** Relays a streaming request: a place, the prefill step, the stream, and another engine where allowed. */
export async function relayStream(parts: RelayParts, job: RelayJob): Promise<RelayResult> {
  return new StreamRun(parts, job).relay()
}

class StreamRun implements StreamOwner, PromptReader, MovingRun {
  readonly sends: SendRecord[] = []
  readonly except = new Set<string>()
  exchange: Exchange | undefined
  isOver = false
  private mayHaveRun = 0
  head: AnswerHead | undefined
  private lastEventId: number | undefined
  /** Events of the engine at work now. */
  private madeEvents = 0
  /** When the request was sent to it. */
  private sentAt: Millis = 0
  private readonly pauses: EventPauses
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
    this.pauses = new EventPauses(job.request.arrivedAt)
    const sent = single(job.request.headers[parts.wire.headers.lastEventId])
    if (sent !== undefined && /^\d+$/.test(sent)) this.lastEventId = Number(sent)
  }

  async relay(): Promise<RelayResult> {
    const { clock } = this.parts
    const { request, endsAt } = this.job
    request.onGone(() => this.finish('the caller has gone'))
    const cancelLimit = clock.after(Math.max(0, endsAt - clock.now() - ANSWER_MARGIN_MS), () =>
      this.answerLate(),
    )
    const result = await this.tryEngines()
    cancelLimit()
    this.isOver = true
    this.prompt.release()
    const { firstMs, longestMs } = this.pauses
    return { ...result, sends: this.sends, firstEventMs: firstMs, longestPauseMs: longestMs }
  }

  private async tryEngines(): Promise<OwnResult> {
    for (let refusals = 0; ;) {
      const refused = this.parts.crashes?.refusal(this.job.request.content)
      if (refused !== undefined) return this.answerWithout(ENDS_ENDPOINTS, refused.leftMs)
      await this.untilEngineIsKnown()
      if (isAwayOnly(this.parts.pool, this.job, 'decode'))
        return this.answerWithout(NOT_AT_HOME, AWAY_COME_BACK_MS)
      this.job.placedAt = this.parts.clock.now()
      const answer = await this.parts.placer.place(this.work())
      if (this.isOver) {
        if (answer.type === 'place') answer.place.release('cancelled', 0, 0)
        return this.overResult()
      }
      if (answer.type === 'refused') return this.answerWithout(answer.reason, answer.retryAfterMs)
      const attempt = await this.runAt(answer.place)
      if (attempt.type === 'over' || this.isOver) return this.overResult()
      if (attempt.type === 'done') return { status: 200, outcome: 'answered' }
      if (attempt.type === 'passed') return { status: attempt.status, outcome: 'answered' }
      if (attempt.type === 'denied') return this.answerWithout('no repeated sending is left')
      if (attempt.type === 'not-run') refusals += 1
      if (refusals > MAX_REFUSALS || !this.mayRepeat(attempt)) return this.answerWithout(attempt.reason)
    }
  }

  /** A machine that has just started learns its endpoints in a moment. */
  private async untilEngineIsKnown(): Promise<void> {
    const { pool, clock } = this.parts
    const { name } = this.job.service
    const limit = pool.isEmptied(name, 'decode') ? 0 : WAIT_FOR_ENGINES_MS
    await waitFor(clock, limit, () => pool.candidates(name, { stage: 'decode' })[0])
  }

  private work(): ModelWork {
    return {
      ...modelWork(this.parts, this.job, this.pauses),
      except: this.except,
      isPrefilled: this.prompt.isUsable(),
    }
  }

  private async runAt(place: ModelPlace): Promise<Attempt> {
    const startedAt = this.parts.clock.now()
    const step = await this.prompt.readAt(place)
    if (this.isOver) {
      place.release('cancelled', 0, 0)
      return { type: 'over' }
    }
    if (step === 'not-read') {
      // Whoever places knows whether another engine reads it, or whether the decode engine can do so itself.
      place.release('cancelled', 0, 0)
      return { type: 'not-run', arrived: false, reason: 'the prompt was not read' }
    }
    const withheld = this.prompt.whyNotDecode(place.decode)
    if (withheld !== undefined) {
      place.release('cancelled', 0, 0)
      return { type: 'not-run', arrived: false, reason: withheld }
    }
    this.madeEvents = 0
    const sending = this.count.open('decode')
    if (sending === undefined) {
      place.release('cancelled', 0, 0)
      return { type: 'denied' }
    }
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

  /** Goes on at other engines for as long as the run is moved. */
  private async streamOn(place: ModelPlace, ended: StreamResult): Promise<StreamResult> {
    const next = await this.moves.next(ended.attempt)
    if (next === undefined) {
      this.noteLoss(place.decode, ended)
      return ended
    }
    const from = place.decode
    this.sends.push({ to: from.endpoint.id, step: 'decode', outcome: 'moved', tookMs: 0 })
    // It is the same run that goes on.
    this.mayHaveRun -= 1
    if (next.at !== from) place.noteMoved(next.at)
    const { at, sending, source, handle } = next
    return this.streamOn(place, await this.streamAt(at, sending, { at: source, handle }))
  }

  /** An engine that was told to stop a run that moves has lost nothing; any other that ended it early may have crashed. */
  private noteLoss(at: PooledEndpoint, { attempt }: StreamResult): void {
    const now = this.parts.clock.now()
    const afterMs = now - this.sentAt
    if (attempt.type === 'lost') noteLost(this.parts, this.job, at, afterMs)
    if (attempt.type !== 'over') return
    noteLost(this.parts, this.job, at, afterMs, Math.min(afterMs, this.pauses.silentMs(now)))
  }

  /** Tells the placement of an engine that has made nothing for too long, and leaves it where that is allowed. */
  private watchStall(place: ModelPlace): { cancel: () => void; hasLeft: () => boolean } {
    const { route } = this.job
    let hasLeft = false
    const cancel = this.parts.clock.after(route.targetMs, () => {
      if (this.madeEvents > 0 || this.isOver) return
      place.noteStalled(route.targetMs)
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
    if (this.head !== undefined && this.lastEventId !== undefined)
      extra.push(headers.lastEventId, String(this.lastEventId))
    const rawHeaders = headersFor(parts, job, to, extra)
    const stream = new EngineStream(this, nameOf(to.endpoint))
    this.sentAt = parts.clock.now()
    return new Promise((resolve) => {
      const exchange = openExchange({
        address: to.endpoint.address,
        method: job.request.method,
        path: job.request.path,
        rawHeaders: this.head === undefined ? rawHeaders : withoutFirst(rawHeaders, headers.lastEventId),
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
      const unwatch = parts.pool.onEnded(to, (reason) => exchange.cancel(reason))
    })
  }

  judge(head: AnswerHead, instance: string) {
    return judgeAnswer(head, { id: this.job.request.id, instance }, this.parts.wire.headers)
  }

  noteMayHaveRun(): void {
    this.mayHaveRun += 1
  }

  passEvents(head: AnswerHead, events: StreamEvent[]): void {
    this.madeEvents += events.length
    this.pauses.note(this.parts.clock.now())
    const isFirst = this.head === undefined
    if (isFirst) this.begin(head)
    for (const event of events) {
      if (event.id !== undefined && this.lastEventId !== undefined && !isFirst) {
        if (event.id <= this.lastEventId) continue
      }
      if (event.id !== undefined) this.lastEventId = event.id
      this.write(event.bytes)
    }
  }

  passEnd(head: AnswerHead, rest: Buffer): void {
    if (this.head === undefined) this.begin(head)
    if (rest.length > 0) this.write(rest)
    this.job.request.response.end()
  }

  passFailure(head: AnswerHead, body: Buffer): number {
    return passFailure(this.job.request.response, head, body)
  }

  private begin(head: AnswerHead): void {
    this.head = head
    const { response } = this.job.request
    response.on('drain', () => this.exchange?.resume())
    if (!head.isFramed) endWithConnection(response)
    response.writeHead(head.status, dropHeaders(head.rawHeaders, []))
  }

  private write(bytes: Buffer): void {
    if (!this.job.request.response.write(bytes)) this.exchange?.pause()
  }

  private mayRepeat(attempt: Extract<Attempt, { type: 'not-run' | 'lost' }>): boolean {
    const { route, endsAt } = this.job
    if (endsAt - this.parts.clock.now() < ANSWER_MARGIN_MS * 2) return false
    // What an engine has begun goes on elsewhere only with its memory, or where the route lets it be made anew.
    if (this.head !== undefined && !route.resumable) return false
    if (attempt.type === 'not-run' && !attempt.arrived) return true
    if (attempt.type === 'lost' && !route.resumable) return false
    if (this.mayHaveRun >= route.attempts) return false
    return this.count.isLeft()
  }

  private answerWithout(reason: string, retryAfterMs: Millis = COME_BACK_MS): OwnResult {
    const { response } = this.job.request
    if (this.head !== undefined) {
      response.destroy()
      const cutWithLeftMs = Math.round(this.job.endsAt - this.parts.clock.now())
      return { status: this.head.status, outcome: `cut: ${reason}`, cutWithLeftMs }
    }
    if (this.mayHaveRun > 0) return answerFailure(this.job.request.response, 502, reason)
    return answerRefusal(response, reason, retryAfterMs)
  }

  private answerLate(): void {
    if (this.isOver) return
    if (this.exchange !== undefined && this.head === undefined)
      answerFailure(this.job.request.response, 504, 'the time is up')
    else this.answerWithout('the time is up')
    this.finish('the time is up')
  }

  private finish(reason: string): void {
    this.isOver = true
    this.exchange?.cancel(reason)
  }

  private overResult(): OwnResult {
    if (this.job.request.isGone()) return { status: this.head?.status ?? 0, outcome: CALLER_GONE }
    return { status: this.head?.status ?? 504, outcome: 'the time is up' }
  }
}

import type { AnswerHead, Exchange } from './exchange'
import { dropHeaders } from './callerRequest'
import type { PooledEndpoint, SendOutcome } from './endpointPool'
import { exchangeWhole, type WholeOutcome } from './exchangeWhole'
import { judgeAnswer } from './judgeAnswer'
import { sendEndpointAnswer, sendOwnAnswer } from './ownAnswer'
import {
  ANSWER_MARGIN_MS,
  CONNECT_MS,
  headersFor,
  type RelayJob,
  type RelayParts,
  type RelayResult,
  type SendRecord,
} from './relayParts'

const MAX_ANSWER_BYTES = 16 * 1024 * 1024
const MAX_REFUSALS = 3
const COME_BACK_MS = 400
/** Answers of an endpoint that promise that nothing ran; never sent on for a request that did. */
const PROMISES = new Set([408, 421, 429, 503])

/** What one sending proved. */
type Sending =
  | { type: 'answer'; head: AnswerHead; body: Buffer }
  | { type: 'not-run'; arrived: boolean }
  | { type: 'unknown'; reason: string }

/** Sends a plain request to one endpoint after another, as far as its route allows, and its answer back. */
export async function relayPlain(parts: RelayParts, job: RelayJob): Promise<RelayResult> {
  const run = new PlainRun(parts, job)
  return run.relay()
}

class PlainRun {
  private readonly sends: SendRecord[] = []
  private readonly tried = new Set<string>()
  private exchange: Exchange | undefined
  private isOver = false
  /** Endpoints that may have run the request. */
  private mayHaveRun = 0
  private arrivals = 0

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
  ) {}

  async relay(): Promise<RelayResult> {
    const { clock } = this.parts
    const { request, endsAt } = this.job
    request.onGone(() => this.finish())
    const cancelLimit = clock.after(Math.max(0, endsAt - clock.now() - ANSWER_MARGIN_MS), () => {
      if (!this.isOver) this.answerLate()
    })
    const result = await this.tryEndpoints()
    cancelLimit()
    return { ...result, sends: this.sends }
  }

  private async tryEndpoints(): Promise<Omit<RelayResult, 'sends'>> {
    let failed: Sending | undefined
    for (let refusals = 0; ;) {
      const to = this.choose()
      if (to === undefined) return this.answerWithout(failed, 'no endpoint')
      const sending = await this.send(to)
      if (this.isOver) return this.overResult()
      if (sending.type === 'answer' && !this.isWorthRepeating(sending)) return this.pass(sending)
      if (sending.type !== 'not-run') failed = sending
      else refusals += 1
      if (refusals > MAX_REFUSALS || !this.mayRepeat(sending)) return this.answerWithout(failed, sending.type)
    }
  }

  private choose(): PooledEndpoint | undefined {
    const { pool } = this.parts
    const fresh = pool.candidates(this.job.service.name, undefined, this.tried)
    return pool.leastLoaded(fresh.length > 0 ? fresh : pool.candidates(this.job.service.name))
  }

  private async send(to: PooledEndpoint): Promise<Sending> {
    const { parts, job } = this
    const startedAt = parts.clock.now()
    this.tried.add(to.endpoint.id)
    parts.pool.noteSent(to)
    const outcome = await exchangeWhole({
      address: to.endpoint.address,
      method: job.request.method,
      path: job.request.path,
      rawHeaders: headersFor(parts, job, to),
      body: job.request.body,
      connectMs: CONNECT_MS,
      clock: parts.clock,
      maxBytes: MAX_ANSWER_BYTES,
      onOpen: (exchange) => (this.exchange = exchange),
    })
    const { sending, note } = this.read(outcome, to)
    const tookMs = parts.clock.now() - startedAt
    parts.pool.noteEnd(to, this.isOver ? 'cancelled' : note, tookMs)
    this.sends.push({ to: to.endpoint.id, step: 'plain', outcome: note, tookMs: Math.round(tookMs) })
    return sending
  }

  private read(outcome: WholeOutcome, to: PooledEndpoint): { sending: Sending; note: SendOutcome } {
    const { wire } = this.parts
    if (outcome.type === 'failed') {
      if (!outcome.sent)
        return {
          sending: { type: 'not-run', arrived: false },
          note: outcome.refused ? 'unreachable' : 'failed',
        }
      this.countRun()
      return { sending: { type: 'unknown', reason: outcome.reason }, note: 'failed' }
    }
    this.arrivals += 1
    const verdict = judgeAnswer(
      outcome.head,
      { id: this.job.request.id, instance: to.endpoint.id },
      wire.headers,
    )
    if (verdict === 'other-instance')
      return { sending: { type: 'not-run', arrived: true }, note: 'other-instance' }
    if (verdict === 'not-run') return { sending: { type: 'not-run', arrived: true }, note: 'full' }
    this.mayHaveRun += 1
    if (verdict === 'foreign')
      return { sending: { type: 'unknown', reason: 'not an answer to this request' }, note: 'failed' }
    const { head, body } = outcome
    return { sending: { type: 'answer', head, body }, note: head.status >= 500 ? 'failed' : 'ok' }
  }

  private countRun(): void {
    this.arrivals += 1
    this.mayHaveRun += 1
  }

  /** An endpoint's own failure of a request that may run again. */
  private isWorthRepeating(sending: Extract<Sending, { type: 'answer' }>): boolean {
    if (sending.head.status < 500) return false
    return this.mayRepeat(sending)
  }

  private mayRepeat(sending: Sending): boolean {
    const { route, service, endsAt } = this.job
    const { clock, allowance } = this.parts
    if (endsAt - clock.now() < ANSWER_MARGIN_MS * 2) return false
    if (sending.type === 'not-run' && !sending.arrived) return true
    if (sending.type !== 'not-run' && route.kind !== 'safe') return false
    if (this.mayHaveRun >= route.attempts) return false
    return allowance.take(service.name)
  }

  private pass(sending: Extract<Sending, { type: 'answer' }>): Omit<RelayResult, 'sends'> {
    const { head, body } = sending
    if (PROMISES.has(head.status))
      return this.answerFailure(502, 'the endpoint gave a promise it cannot keep')
    const rawHeaders = dropHeaders(head.rawHeaders, ['content-length'])
    sendEndpointAnswer(this.job.request.response, {
      status: head.status,
      rawHeaders,
      body,
      isFramed: head.isFramed,
    })
    return { status: head.status, outcome: 'answered' }
  }

  /** Ends a request for which there is no good answer. */
  private answerWithout(failed: Sending | undefined, reason: string): Omit<RelayResult, 'sends'> {
    if (failed?.type === 'answer') return this.pass(failed)
    if (this.mayHaveRun > 0) return this.answerFailure(502, reason)
    return this.answerRefusal(reason)
  }

  private answerFailure(status: number, reason: string): Omit<RelayResult, 'sends'> {
    sendOwnAnswer(this.job.request.response, {
      status,
      code: 'FORKSTAGE_MAY_HAVE_RUN',
      message: `No whole answer came back: ${reason}.`,
    })
    return { status, outcome: reason }
  }

  private answerRefusal(reason: string): Omit<RelayResult, 'sends'> {
    sendOwnAnswer(this.job.request.response, {
      status: 503,
      code: 'FORKSTAGE_NOT_RUN',
      message: `The request was not run: ${reason}.`,
      retryAfterMs: COME_BACK_MS,
    })
    return { status: 503, outcome: reason }
  }

  /** The time is up: what is under way may still run. */
  private answerLate(): void {
    if (this.mayHaveRun > 0 || this.exchange !== undefined) this.answerFailure(504, 'the time is up')
    else this.answerRefusal('the time is up')
    this.finish()
  }

  private finish(): void {
    this.isOver = true
    this.exchange?.cancel('the request has ended')
  }

  private overResult(): Omit<RelayResult, 'sends'> {
    if (this.job.request.isGone()) return { status: 0, outcome: 'caller gone' }
    return { status: 504, outcome: 'the time is up' }
  }
}

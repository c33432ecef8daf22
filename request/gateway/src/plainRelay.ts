import { MUST_BE_ISOLATED, type TrialPlacement } from './isolatedPlace'
import type { InRegion } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { HeldAnswer } from './answerMemory'
import type { Exchange } from './exchange'
import { hasRoom } from './hasRoom'
import { dropHeaders } from './callerRequest'
import type { PooledEndpoint } from './pooledEndpoint'
import type { PoolUnavailability } from './poolTypes'
import { COLD_LIMIT_REASON } from './coldEndpointLimiter'
import { fetchAnswer, type FetchOutcome } from './fetchAnswer'
import { releaseOnceRead } from './releaseOnceRead'
import { reportLostSending } from './reportLostSending'
import { RATE_LIMIT_REASON } from './endpointRateLimiter'
import { readVerdict } from './readVerdict'
import { sendEndpointAnswer } from './ownAnswer'
import {
  answerFailure,
  answerRefusal,
  CALLER_DISCONNECTED,
  NOT_RUN_STATUSES,
  type OwnResult,
} from './relayAnswers'
import {
  ANSWER_MARGIN_MS,
  CONNECT_MS,
  EARLY_REFUSAL_SHARE,
  headersFor,
  MAX_ANSWER_BYTES,
  sendRecord,
  type RelayJob,
  type RelayParts,
  type RelayResult,
  type SendRecord,
} from './relayParts'
import { SendCounter } from './sendCounter'
import { CrashGuard } from './crashGuard'
import { ENDS_ENDPOINTS, EVACUATED, whyNoLongerSend, whyNotSend } from './sendRules'
import { OUTSIDE_REGIONS_RETRY_MS, isOnlyOutsideRegions, OUTSIDE_REGIONS } from './regionRule'
import { sourceOf } from './sourceOf'
import { LEAVING_RETRY_MS, OUTLASTS_STOP } from './stopAdmission'
import { UNRUN_OUTCOMES, unsentOutcome, type SendOutcome } from './sendOutcome'
import { waitFor } from './waitFor'
import { reasonOf, type SendingResult } from './sendingResult'
import { wasLostOnTheWay } from './wasLostOnTheWay'
import { watchExchange } from './watchExchange'

const MAX_REFUSALS = 3
const RETRY_AFTER_MS = 400
/** Share of the target that a retry waits for an endpoint with room. */
const RETURN_WAIT_SHARE = 0.5

/** Sends a plain request to one endpoint after another, as far as its route allows, and forwards the answer. */
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
  private possibleRuns = 0
  private readonly sendCounter: SendCounter
  private readonly crashGuard: CrashGuard

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
  ) {
    this.sendCounter = new SendCounter(parts.retryBudget, job.service.name)
    this.crashGuard = new CrashGuard(parts, job, () => this.isOver)
  }

  async relay(): Promise<RelayResult> {
    const { clock } = this.parts
    const { request, endsAt } = this.job
    request.onDisconnect(() => this.finish())
    const cancelLimit = clock.after(Math.max(0, endsAt - clock.now() - ANSWER_MARGIN_MS), () => {
      if (!this.isOver) this.answerLate()
    })
    const result = await this.tryEndpoints()
    cancelLimit()
    void this.crashGuard.end()
    return { ...result, sends: this.sends }
  }

  private async tryEndpoints(): Promise<OwnResult> {
    if (isOnlyOutsideRegions(this.parts.pool, this.job))
      return answerRefusal(this.job.request.response, OUTSIDE_REGIONS, OUTSIDE_REGIONS_RETRY_MS)
    let failed: SendingResult | undefined
    for (let refusals = 0; ;) {
      if (this.job.stop?.isTooLateToBegin() === true)
        return this.endWithoutAnswer(failed, OUTLASTS_STOP, LEAVING_RETRY_MS)
      const decision = await this.crashGuard.decide()
      if (decision.type === 'refuse')
        return this.endWithoutAnswer(failed, ENDS_ENDPOINTS, decision.refusal.leftMs)
      const permit = await this.crashGuard.acquire(decision)
      if (permit.type === 'later' && !this.isOver)
        return this.endWithoutAnswer(failed, MUST_BE_ISOLATED, permit.retryAfterMs)
      const to = permit.type === 'place' ? permit.at : await this.chooseEndpoint()
      if (this.isOver) return this.overResult()
      if (to === undefined) return this.endWithoutAnswer(failed, this.whyNoEndpoint())
      // While it waited, other requests may have taken the room, and the same content may have crashed endpoints.
      if (
        permit.type !== 'place' &&
        (!hasRoom(this.parts, this.job.service, to) || this.crashGuard.isOutdated(decision))
      )
        continue
      const sending = await this.sendTo(to, permit)
      if (sending === undefined) return this.endWithoutAnswer(failed, 'no repeated sending is left')
      if (this.isOver) return this.overResult()
      if (sending.type === 'answer' && !this.isWorthRepeating(sending)) return this.forwardAnswer(sending)
      if (sending.type !== 'not-run') failed = sending
      else refusals += 1
      if (refusals > MAX_REFUSALS || !this.mayRepeat(sending))
        return this.endWithoutAnswer(failed, reasonOf(sending))
    }
  }

  /** Waits for an endpoint with room and returns it; undefined if none has room in time. */
  private chooseEndpoint(): Promise<InRegion<PooledEndpoint> | undefined> {
    const { clock } = this.parts
    const { request, route, isReturn } = this.job
    const share = isReturn ? RETURN_WAIT_SHARE : EARLY_REFUSAL_SHARE
    const left = request.arrivedAt + route.targetMs * share - clock.now()
    // Waiting is pointless if no endpoint may get the request within the time that is left to wait.
    const { pool, limits } = this.parts
    const all = pool.candidates(this.job.service.name, { regions: this.job.regions() })
    limits?.requestPermits(all)
    const cannotSucceed =
      pool.isFullyBarred(this.job.service.name) ||
      (this.coldWait() ?? 0) > left ||
      (this.unavailability()?.leftMs ?? 0) > left ||
      limits?.haveZeroRates(all) === true
    const limit = cannotSucceed ? 0 : Math.max(0, left)
    return waitFor(clock, limit, () => (this.isOver ? undefined : this.leastLoadedWithRoom()))
  }

  private leastLoadedWithRoom(): InRegion<PooledEndpoint> | undefined {
    const { pool, cold } = this.parts
    const fresh = this.usable(this.tried)
    const open = (fresh.length > 0 ? fresh : this.usable()).filter((one) =>
      hasRoom(this.parts, this.job.service, one),
    )
    return pool.leastLoaded(cold?.eligible(open) ?? open)
  }

  /** Returns the endpoints that may get the request and whose rate limits allow it now, without those in `except`. */
  private usable(except?: ReadonlySet<string>): InRegion<PooledEndpoint>[] {
    const { pool, limits } = this.parts
    const candidates = pool.candidates(this.job.service.name, { except, regions: this.job.regions() })
    return limits?.eligible(candidates) ?? candidates
  }

  private whyNoEndpoint(): string {
    const { pool } = this.parts
    const { service, regions } = this.job
    if (pool.isFullyBarred(service.name)) return EVACUATED
    if (this.coldWait() !== undefined) return COLD_LIMIT_REASON
    const unavailability = this.unavailability()
    if (unavailability !== undefined) return unavailability.reason
    const there = pool.candidates(service.name, { regions: regions() })
    if (this.parts.limits?.isExhausted(there) === true) return RATE_LIMIT_REASON
    if (there.length > 0) return 'no room in time'
    return pool.hasEndpoints(service.name) ? OUTSIDE_REGIONS : 'no endpoint'
  }

  /** Returns why and for how long no endpoint accepts requests from this entry; undefined if one does. */
  private unavailability(): PoolUnavailability | undefined {
    return this.parts.pool.unavailability(this.job.service.name, { regions: this.job.regions() })
  }

  /** Returns the time until this entry may use a cold endpoint again; undefined unless all are cold and exhausted. */
  private coldWait(): Millis | undefined {
    const { pool, cold } = this.parts
    const waitMs = cold?.availableInMs(
      pool.candidates(this.job.service.name, { regions: this.job.regions() }),
    )
    return waitMs !== undefined && waitMs > 0 ? waitMs : undefined
  }

  private async sendTo(
    to: InRegion<PooledEndpoint>,
    permit: TrialPlacement,
  ): Promise<SendingResult | undefined> {
    if (permit.type !== 'place') return this.send(to)
    this.job.isolatedId = to.endpoint.id
    const sending = await this.send(to)
    this.job.isolatedId = undefined
    void this.crashGuard.endTrial(permit, to.endpoint.id)
    return sending
  }

  /** Sends the request to one endpoint; undefined if the retry budget is used up. */
  private async send(to: InRegion<PooledEndpoint>): Promise<SendingResult | undefined> {
    const { parts, job } = this
    this.tried.add(to.endpoint.id)
    if (whyNotSend(parts, job, to.endpoint, 'plain') !== undefined) return { type: 'not-run', arrived: false }
    const counted = this.sendCounter.open('plain')
    if (counted === undefined) return undefined
    const startedAt = parts.clock.now()
    parts.pool.recordSend(to)
    let unwatch = () => {}
    let held: HeldAnswer | undefined
    const mayRepeat = () => job.route.kind === 'safe' && this.isRunLeft(1)
    const outcome = await fetchAnswer({
      address: to.endpoint.address,
      method: job.request.method,
      path: job.request.path,
      rawHeaders: headersFor(parts, job, to),
      body: job.request.body,
      onSent: () => {
        if (!mayRepeat()) job.request.body.makeSpare()
      },
      connectMs: CONNECT_MS,
      dial: parts.dialer?.dial,
      whyNoLongerSend: () => whyNoLongerSend(parts, job, to.endpoint, 'plain'),
      clock: parts.clock,
      maxBytes: MAX_ANSWER_BYTES,
      held: (exchange) => (held = parts.answerMemory.open(sourceOf(exchange))),
      onOpen: (exchange) => {
        this.exchange = exchange
        unwatch = watchExchange(parts, to, exchange, { patienceMs: job.route.targetMs, mayRepeat })
      },
    })
    unwatch()
    job.request.body.keep()
    if (outcome.type === 'answer') releaseOnceRead(held, job.request.response)
    else held?.release()
    counted.close(outcome.type === 'answer' || outcome.sent ? 'taken' : 'not-arrived')
    const tookMs = parts.clock.now() - startedAt
    const isPathLoss =
      outcome.type === 'failed' && outcome.sent && (await wasLostOnTheWay(parts, to, outcome))
    const { sending, sendOutcome } = this.interpret(outcome, to, isPathLoss)
    if (outcome.type === 'failed' && outcome.sent && !isPathLoss) {
      reportLostSending(parts, job, to, tookMs, this.isOver ? tookMs : undefined)
      this.crashGuard.recordLost(to.endpoint.id)
    }
    // The latency of a cold endpoint, or through a delayed entry, says nothing about its later capacity.
    const isUnusual = parts.cold?.isCold(to.endpoint.id) === true || parts.isDelayed?.() === true
    if (sendOutcome === 'ok' && !isUnusual) to.limit.recordAnswer(tookMs, job.route.targetMs)
    // An endpoint that asked for backoff keeps its limit: its normal capacity is unchanged.
    if (sendOutcome === 'full' && parts.pool.isAvailable(to)) to.limit.recordFull()
    parts.pool.recordEnd(to, this.isOver ? 'cancelled' : sendOutcome, tookMs)
    const reason = outcome.type === 'failed' && !outcome.sent ? outcome.reason : undefined
    this.sends.push(sendRecord(this.job, to, 'plain', sendOutcome, tookMs, reason))
    return sending
  }

  private interpret(
    outcome: FetchOutcome,
    to: PooledEndpoint,
    isPathLoss: boolean,
  ): { sending: SendingResult; sendOutcome: SendOutcome } {
    if (outcome.type === 'failed') {
      if (!outcome.sent)
        return { sending: { type: 'not-run', arrived: false }, sendOutcome: unsentOutcome(outcome) }
      this.possibleRuns += 1
      const sendOutcome = isPathLoss ? 'no-path' : 'failed'
      return { sending: { type: 'unknown', reason: outcome.reason }, sendOutcome }
    }
    const verdict = readVerdict(this.parts, this.job, to, outcome.head)
    const unrun = UNRUN_OUTCOMES[verdict]
    if (unrun !== undefined) return { sending: { type: 'not-run', arrived: true }, sendOutcome: unrun }
    this.possibleRuns += 1
    if (verdict === 'foreign')
      return { sending: { type: 'unknown', reason: 'not an answer to this request' }, sendOutcome: 'failed' }
    const { head, parts } = outcome
    return { sending: { type: 'answer', head, parts }, sendOutcome: head.status >= 500 ? 'failed' : 'ok' }
  }

  /** Whether an answer is a server error and the request may run again. */
  private isWorthRepeating(sending: Extract<SendingResult, { type: 'answer' }>): boolean {
    if (sending.head.status < 500) return false
    return this.mayRepeat(sending)
  }

  private mayRepeat(sending: SendingResult): boolean {
    const { request, route, endsAt } = this.job
    if (request.body.isReleased) return false
    if (endsAt - this.parts.clock.now() < ANSWER_MARGIN_MS * 2) return false
    if (sending.type === 'not-run' && !sending.arrived) return true
    if (sending.type !== 'not-run' && route.kind !== 'safe') return false
    // If no untried endpoint is left, one that has just rejected the request does not get it again.
    if (sending.type === 'not-run' && !this.hasUntried()) return false
    return this.isRunLeft()
  }

  /** Whether another endpoint may run the request, counting `inProgress` runs that are not over. */
  private isRunLeft(inProgress = 0): boolean {
    return this.possibleRuns + inProgress < this.job.route.attempts && this.sendCounter.isLeft()
  }

  private hasUntried(): boolean {
    return this.usable(this.tried).length > 0
  }

  private forwardAnswer(sending: Extract<SendingResult, { type: 'answer' }>): OwnResult {
    const { head, parts } = sending
    if (NOT_RUN_STATUSES.has(head.status))
      return answerFailure(
        this.job.request.response,
        502,
        'the endpoint answered with a retry status but may have run the request',
      )
    const rawHeaders = dropHeaders(head.rawHeaders, ['content-length'])
    sendEndpointAnswer(this.job.request.response, {
      status: head.status,
      rawHeaders,
      parts,
      isFramed: head.isFramed,
    })
    return { status: head.status, outcome: 'answered' }
  }

  /** Ends a request that got no successful answer. */
  private endWithoutAnswer(
    failed: SendingResult | undefined,
    reason: string,
    retryAfterMs?: Millis,
  ): OwnResult {
    if (failed?.type === 'answer') return this.forwardAnswer(failed)
    if (this.possibleRuns > 0) return answerFailure(this.job.request.response, 502, reason)
    const callerRetryMs =
      retryAfterMs ?? this.coldWait() ?? this.unavailability()?.retryAfterMs ?? RETRY_AFTER_MS
    return answerRefusal(this.job.request.response, reason, callerRetryMs)
  }

  /** Answers a request whose time is up; a sending in progress may still run. */
  private answerLate(): void {
    if (this.possibleRuns > 0 || this.exchange !== undefined)
      answerFailure(this.job.request.response, 504, 'the time is up')
    else answerRefusal(this.job.request.response, 'the time is up', RETRY_AFTER_MS)
    this.finish()
  }

  private finish(): void {
    this.isOver = true
    this.exchange?.cancel('the request has ended')
  }

  private overResult(): OwnResult {
    if (this.job.request.isDisconnected()) return { status: 0, outcome: CALLER_DISCONNECTED }
    return { status: 504, outcome: 'the time is up' }
  }
}

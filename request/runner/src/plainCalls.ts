import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import type { Readable } from 'node:stream'
import { Agent, request as httpRequest, type Dispatcher } from 'undici'
import type { JournalClient, JournalResult, Outcome } from '@forkstage/claims'
import { delay, type Clock } from '@forkstage/clock'
import { neverConnected, NOT_RUN_HEADER, NOT_RUN_VALUE } from '@forkstage/engine-client'
import type { EndpointTracker } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import { flattenHeaders, readRetryAfter, type RetryAfter } from '@forkstage/statements'
import type { EndpointRow, Millis, RequestId, RequestKey } from '@forkstage/types'
import { AnswerError, KeyReusedError, MayHaveRunError, OutcomeNotKeptError } from './answerErrors'
import { createOutcome } from './outcome'
import { choosePlainEndpoint } from './choosePlainEndpoint'
import { forwardableHeaders, joinHeaderValues } from './forwardHeaders'
import type { TraceStore } from './traceStore'

/** A parsed and validated call to a plain service. */
export interface PlainRequest {
  request: RequestId
  caller: string
  service: string
  /** Absent if the call may be repeated and the caller gave no key: the journal stores nothing of such a call. */
  key?: RequestKey
  bodyDigest: string
  repeatable: boolean
  method: string
  /** Path and query, as the service sees them. */
  path: string
  headers: Record<string, string | string[]>
  /** A buffer if the body had to be hashed for its key, else the caller's stream. */
  body: Buffer | Readable | undefined
  deadlineMs: Millis
}

/** What plain calls need from their box. */
export interface PlainParts {
  journal: JournalClient
  tracker: EndpointTracker
  traces: TraceStore
  clock: Clock
  logger: Logger
  outcomeBytes: number
  random: () => number
  /** Requests more shares from the owners of endpoints at once. */
  requestCredits: () => void
}

/** The most endpoints that a call that may be repeated is sent to. */
const MAX_TRIES = 3
/**
 * The longest wait for a share of an endpoint: other boxes return unused shares when they renew, which boxes without
 * work do each second.
 */
const SHARE_WAIT_MS = 1_500
const SHARE_POLL_MS = 10

/** Sends calls to plain services, at most once each if they may not be repeated. */
export class PlainCalls {
  private readonly agent = new Agent({
    connections: 128,
    pipelining: 1,
    connect: { timeout: 1_000 },
    bodyTimeout: 0,
    headersTimeout: 0,
  })
  private runningCount = 0
  private waitingForShareCount = 0

  constructor(private readonly parts: PlainParts) {}

  /** The number of calls in progress. */
  get running(): number {
    return this.runningCount
  }

  /** The number of calls that wait for a share of an endpoint of their service. */
  get waiting(): number {
    return this.waitingForShareCount
  }

  /** Serves a call. @throws AnswerError if no answer of the service can be relayed. */
  async serve(call: PlainRequest, response: ServerResponse): Promise<void> {
    this.runningCount += 1
    try {
      const epoch = call.key === undefined ? undefined : await this.claim(call.key, call, response)
      if (epoch === 'replayed') return
      await this.run(call, response, epoch)
    } finally {
      this.runningCount -= 1
    }
  }

  close(): Promise<void> {
    return this.agent.destroy()
  }

  /** Claims the key before anything is sent. The claim is synced on a majority of replicas when this returns. */
  private async claim(
    key: RequestKey,
    call: PlainRequest,
    response: ServerResponse,
  ): Promise<number | 'replayed'> {
    const result = await this.parts.journal
      .claim(key, call.bodyDigest, call.request, call.repeatable)
      .catch((error: unknown) => {
        const message = 'The request could not be claimed.'
        throw notRunError('FORKSTAGE_JOURNAL_UNAVAILABLE', message, 503, { cause: error })
      })
    this.parts.traces.record(call.request, 'claim', { outcome: result.type })
    return this.applyClaimResult(result, call, response)
  }

  private async applyClaimResult(
    result: JournalResult,
    call: PlainRequest,
    response: ServerResponse,
  ): Promise<number | 'replayed'> {
    switch (result.type) {
      case 'new':
        return result.epoch
      case 'done':
        replay(result.claim.request, result.claim.outcome!, response)
        return 'replayed'
      case 'running':
        if (!result.claim.repeatable) throw new MayHaveRunError(result.claim.request)
        return this.takeOver(call, result.claim.epoch, response)
      case 'mismatch':
        throw new KeyReusedError(call.key ?? '')
      default:
        throw notRunError('FORKSTAGE_JOURNAL_FULL', 'The journal is full and accepts no more keys.', 503)
    }
  }

  private async takeOver(
    call: PlainRequest,
    epoch: number,
    response: ServerResponse,
  ): Promise<number | 'replayed'> {
    return this.applyClaimResult(await this.parts.journal.takeOver(call.key!, epoch), call, response)
  }

  private async run(call: PlainRequest, response: ServerResponse, epoch: number | undefined): Promise<void> {
    const tried: EndpointRow[] = []
    for (;;) {
      await this.waitForShare(call, tried)
      const row = choosePlainEndpoint(call, this.parts, tried)
      if (row === undefined) {
        await this.forget(call, epoch)
        throw this.noEndpointError(call)
      }
      tried.push(row)
      const failure = await this.dispatch(call, row, response, epoch)
      if (failure === undefined) return
      const mayRetry = call.repeatable && isReplayable(call.body) && tried.length < MAX_TRIES
      if (!mayRetry) throw await this.endFailed(call, row, failure, epoch)
    }
  }

  private noEndpointError({ service }: PlainRequest): AnswerError {
    const { tracker } = this.parts
    const names = tracker.rows
      .filter((row) => row.service === service && row.pool === 'plain')
      .map(({ endpoint }) => endpoint)
    const message = `No endpoint of ${service} accepts calls now.`
    return notRunError('FORKSTAGE_NO_ENDPOINT', message, 503, { retryAfterMs: tracker.backoffLeftMs(names) })
  }

  /**
   * Waits while endpoints accept calls but this box has no share of any: a box that has just started, or has been idle,
   * may hold no share of a small pool.
   */
  private async waitForShare(call: PlainRequest, tried: EndpointRow[]): Promise<void> {
    const { clock, requestCredits } = this.parts
    const end = clock.now() + Math.min(SHARE_WAIT_MS, call.deadlineMs / 2)
    const lacksShare = () => this.lacksOnlyShare(call, tried)
    if (!lacksShare()) return
    this.waitingForShareCount += 1
    try {
      for (; lacksShare() && clock.now() < end; await delay(clock, SHARE_POLL_MS)) requestCredits()
    } finally {
      this.waitingForShareCount -= 1
    }
  }

  private lacksOnlyShare(call: PlainRequest, tried: EndpointRow[]): boolean {
    const { tracker } = this.parts
    const closed = tracker.rows
      .filter((row) => row.service === call.service && row.pool === 'plain' && !tried.includes(row))
      .map((row) => tracker.closedReason(row.endpoint))
    return !closed.includes(undefined) && closed.includes('no-credit')
  }

  /** Sends the call to one endpoint. @returns why that failed; undefined once the answer has been relayed. */
  private async dispatch(
    call: PlainRequest,
    row: EndpointRow,
    response: ServerResponse,
    epoch: number | undefined,
  ): Promise<DispatchFailure | undefined> {
    const { tracker, traces } = this.parts
    tracker.recordSent(row.endpoint, call.request, { promptTokens: 0, prefillTokens: 0, kvTokens: 0 }, [])
    traces.record(call.request, 'dispatch', { endpoint: row.endpoint, method: call.method, path: call.path })
    try {
      const answer = await this.send(call, row)
      const refused = answer.headers[NOT_RUN_HEADER] === NOT_RUN_VALUE && answer.statusCode >= 400
      if (refused) {
        await answer.body.dump()
        tracker.recordRefusal(row.endpoint, retryAfterOf(answer), call.request, 'refused')
        return { notRun: true, reason: `refused with status ${answer.statusCode}` }
      }
      await this.relay(call, answer, response, epoch)
      tracker.recordResult(row.endpoint, undefined)
      return undefined
    } catch (error) {
      if (response.headersSent) throw error
      const reason = error instanceof Error ? error.message : String(error)
      tracker.recordResult(row.endpoint, reason)
      return { notRun: neverConnected(error), reason, cause: error }
    } finally {
      tracker.recordEnded(row.endpoint, call.request)
    }
  }

  private async send(call: PlainRequest, row: EndpointRow): Promise<Dispatcher.ResponseData> {
    const headers = { ...forwardableHeaders(call.headers), 'x-forkstage-request': call.request }
    const abort = new AbortController()
    const cancel = this.parts.clock.after(call.deadlineMs, () => abort.abort(new Error('deadline')))
    try {
      return await httpRequest(`http://${row.address}${call.path}`, {
        method: call.method as Dispatcher.HttpMethod,
        headers,
        body: call.body,
        dispatcher: this.agent,
        signal: abort.signal,
      })
    } finally {
      cancel()
    }
  }

  /** Relays the answer. With a key, the outcome is written to the journal before the first byte is sent. */
  private async relay(
    call: PlainRequest,
    answer: Dispatcher.ResponseData,
    response: ServerResponse,
    epoch: number | undefined,
  ): Promise<void> {
    const headers = forwardableHeaders(answer.headers as Record<string, string | string[]>)
    if (call.key === undefined || epoch === undefined) {
      writeHead(response, answer.statusCode, headers, call.request)
      return pipeline(answer.body, response)
    }
    const body = Buffer.from(await answer.body.arrayBuffer())
    const outcome = createOutcome(body, {
      status: answer.statusCode,
      headers: joinHeaderValues(headers),
      keepBytes: this.parts.outcomeBytes,
    })
    const result = await this.parts.journal.settle(call.key, epoch, outcome).catch(() => undefined)
    if (result?.type === 'fenced') throw new MayHaveRunError(call.request)
    this.parts.traces.record(call.request, 'ended', {
      status: answer.statusCode,
      bytes: body.length,
      settled: result?.type ?? 'unknown',
    })
    writeHead(response, answer.statusCode, headers, call.request)
    response.end(body)
  }

  private async endFailed(
    call: PlainRequest,
    row: EndpointRow,
    failure: DispatchFailure,
    epoch: number | undefined,
  ): Promise<AnswerError> {
    this.parts.traces.record(call.request, 'ended', {
      endpoint: row.endpoint,
      reason: failure.reason,
      notRun: failure.notRun,
    })
    const origin = { step: 'dispatch', peer: row.endpoint, cause: failure.cause }
    if (failure.notRun || call.repeatable) await this.forget(call, epoch)
    const message = `${row.endpoint} gave no answer: ${failure.reason}`
    if (failure.notRun)
      return new AnswerError(
        'FORKSTAGE_ENDPOINT',
        message,
        'Send the request again.',
        503,
        'not-run',
        500,
        origin,
      )
    const hint = call.repeatable
      ? 'Send the request again.'
      : 'The request is not run again. Send the same key later to get its outcome.'
    return new AnswerError('FORKSTAGE_MAY_HAVE_RUN', message, hint, 502, 'may-have-run', 1_000, origin)
  }

  private async forget(call: PlainRequest, epoch: number | undefined): Promise<void> {
    if (call.key === undefined || epoch === undefined) return
    await this.parts.journal.forget(call.key, epoch).catch(() => undefined)
  }
}

interface DispatchFailure {
  /** Whether it is proved that the endpoint did not run the call. */
  notRun: boolean
  reason: string
  cause?: unknown
}

function isReplayable(body: PlainRequest['body']): boolean {
  return body === undefined || Buffer.isBuffer(body)
}

function notRunError(
  code: `FORKSTAGE_${string}`,
  message: string,
  status: number,
  { retryAfterMs = 500, cause }: { retryAfterMs?: Millis; cause?: unknown } = {},
): AnswerError {
  const hint = 'Nothing was run. Send the request again a little later.'
  return new AnswerError(code, message, hint, status, 'not-run', retryAfterMs, { step: 'dispatch', cause })
}

function retryAfterOf({ statusCode, headers }: Dispatcher.ResponseData): RetryAfter {
  return readRetryAfter({ status: statusCode, rawHeaders: flattenHeaders(headers) })
}

function writeHead(
  response: ServerResponse,
  status: number,
  headers: Record<string, string | string[]>,
  request: RequestId,
): void {
  response.writeHead(status, { ...headers, 'x-forkstage-execution': 'ran', 'x-forkstage-request': request })
}

function replay(request: RequestId, outcome: Outcome, response: ServerResponse): void {
  if (outcome.body === undefined) throw new OutcomeNotKeptError(request, outcome.digest)
  writeHead(response, outcome.status, { ...outcome.headers, 'x-forkstage-replayed': 'true' }, request)
  response.end(Buffer.from(outcome.body, 'base64'))
}

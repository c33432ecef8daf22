import { Agent, request as httpRequest, type Dispatcher } from 'undici'
import type { Clock } from '@forkstage/clock'
import { flattenHeaders, readRetryAfter } from '@forkstage/statements'
import type { EndpointName, Millis } from '@forkstage/types'
import { EndpointError, NOT_RUN_HEADER, NOT_RUN_VALUE } from './engineErrors'
import type {
  AttemptId,
  CacheEvent,
  DecodeParams,
  EngineHold,
  EngineLine,
  EngineOrder,
  EnginePrompt,
  EngineReport,
  PrefillResult,
} from './engineTypes'
import { neverConnected } from './neverConnected'
import { readLines } from './readLines'

/** Name and network address of an engine. */
export interface EngineAddress {
  endpoint: EndpointName
  address: string
}

/** Options of {@link EngineClient}. */
export interface EngineClientOptions {
  clock: Clock
  /** Timeout of calls that run no model work, such as reports, reservations and releases. */
  callTimeoutMs: Millis
}

/** An open decode stream. */
export interface DecodeStream {
  /** Closes the connection; the engine keeps the stream for a short time so that it can be resumed. */
  close(): void
}

/** Receives the lines of a decode stream. */
export interface DecodeListener {
  onLine(line: EngineLine): void
  /** Called when the connection has closed, for any reason; does not tell whether the answer is complete. */
  onClose(error?: EndpointError): void
}

/** Client of the engines' published protocol (docs/endpoints.md); another protocol needs another class. */
export class EngineClient {
  private readonly agent = new Agent({
    connections: 256,
    pipelining: 1,
    connect: { timeout: 1_000 },
    bodyTimeout: 0,
    headersTimeout: 0,
  })

  constructor(private readonly options: EngineClientOptions) {}

  report(engine: EngineAddress): Promise<EngineReport> {
    return this.requestJson(engine, 'GET', '/v1/report', undefined, 'report', this.options.callTimeoutMs)
  }

  holds(engine: EngineAddress): Promise<EngineHold[]> {
    return this.requestJson(engine, 'GET', '/v1/holds', undefined, 'holds', this.options.callTimeoutMs)
  }

  cacheEvents(engine: EngineAddress, after: number): Promise<CacheEvent[]> {
    return this.requestJson(
      engine,
      'GET',
      `/v1/cache-events?after=${after}`,
      undefined,
      'cache events',
      this.options.callTimeoutMs,
    )
  }

  /** Reserves decode memory for `leaseMs`; runs no model work. */
  async reserve(engine: EngineAddress, attempt: AttemptId, tokens: number, leaseMs: Millis): Promise<void> {
    await this.requestJson(
      engine,
      'POST',
      '/v1/slots',
      { ...attempt, tokens, leaseMs },
      'reserve',
      this.options.callTimeoutMs,
    )
  }

  prefill(
    engine: EngineAddress,
    attempt: AttemptId,
    prompt: EnginePrompt,
    timeoutMs: Millis,
  ): Promise<PrefillResult> {
    return this.requestJson(engine, 'POST', '/v1/prefills', { ...attempt, prompt }, 'prefill', timeoutMs)
  }

  /** Starts decoding in the reserved slot; the listener receives the lines. */
  decode(
    engine: EngineAddress,
    attempt: AttemptId,
    params: DecodeParams,
    listener: DecodeListener,
  ): DecodeStream {
    return this.openStream(engine, 'POST', '/v1/streams', { ...attempt, ...params }, 'decode', listener)
  }

  /** Resumes a stream at token `from`, under the epoch of the attempt. */
  resume(engine: EngineAddress, attempt: AttemptId, from: number, listener: DecodeListener): DecodeStream {
    const path = `/v1/streams/${encodeURIComponent(attempt.request)}?epoch=${attempt.epoch}&from=${from}`
    return this.openStream(engine, 'GET', path, undefined, 'resume', listener)
  }

  /** Releases everything held for a request up to the attempt's epoch; resolves once the engine confirms. */
  async release(engine: EngineAddress, attempt: AttemptId): Promise<void> {
    const path = `/v1/requests/${encodeURIComponent(attempt.request)}?epoch=${attempt.epoch}`
    await this.requestJson(engine, 'DELETE', path, undefined, 'release', this.options.callTimeoutMs)
  }

  async order(engine: EngineAddress, order: EngineOrder, timeoutMs: Millis): Promise<void> {
    await this.requestJson(engine, 'POST', '/v1/orders', order, 'order', timeoutMs)
  }

  close(): Promise<void> {
    return this.agent.destroy()
  }

  private async requestJson<Answer>(
    engine: EngineAddress,
    method: Dispatcher.HttpMethod,
    path: string,
    body: unknown,
    step: string,
    timeoutMs: Millis,
  ): Promise<Answer> {
    const abort = new AbortController()
    const cancel = this.options.clock.after(timeoutMs, () =>
      abort.abort(new Error(`no answer within ${timeoutMs} ms`)),
    )
    try {
      const response = await this.send(engine, method, path, body, abort.signal)
      const text = await response.body.text()
      if (response.statusCode >= 300) throw toRefusalError(engine, step, response, text)
      return (text === '' ? undefined : JSON.parse(text)) as Answer
    } catch (error) {
      throw toEndpointError(engine, step, error)
    } finally {
      cancel()
    }
  }

  private openStream(
    engine: EngineAddress,
    method: Dispatcher.HttpMethod,
    path: string,
    body: unknown,
    step: string,
    listener: DecodeListener,
  ): DecodeStream {
    const abort = new AbortController()
    this.readStream(engine, method, path, body, step, listener, abort.signal).then(
      () => listener.onClose(),
      (error: unknown) => listener.onClose(toEndpointError(engine, step, error)),
    )
    return { close: () => abort.abort(new Error('closed')) }
  }

  private async readStream(
    engine: EngineAddress,
    method: Dispatcher.HttpMethod,
    path: string,
    body: unknown,
    step: string,
    listener: DecodeListener,
    signal: AbortSignal,
  ): Promise<void> {
    const response = await this.send(engine, method, path, body, signal)
    if (response.statusCode >= 300) throw toRefusalError(engine, step, response, await response.body.text())
    await readLines(response.body, (line) => listener.onLine(JSON.parse(line) as EngineLine))
  }

  private send(
    engine: EngineAddress,
    method: Dispatcher.HttpMethod,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ) {
    return httpRequest(`http://${engine.address}${path}`, {
      method,
      dispatcher: this.agent,
      signal,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
    })
  }
}

function toRefusalError(
  engine: EngineAddress,
  step: string,
  response: Dispatcher.ResponseData,
  text: string,
): EndpointError {
  const notRun = response.headers[NOT_RUN_HEADER] === NOT_RUN_VALUE
  const { statusCode, headers } = response
  const retryAfter = readRetryAfter({ status: statusCode, rawHeaders: flattenHeaders(headers) })
  return new EndpointError(engine.endpoint, step, readErrorCode(text) ?? `status ${statusCode}`, notRun, {
    retryAfter,
  })
}

function readErrorCode(text: string): string | undefined {
  try {
    return (JSON.parse(text) as { code?: string }).code
  } catch {
    return undefined
  }
}

function toEndpointError(engine: EngineAddress, step: string, error: unknown): EndpointError {
  if (error instanceof EndpointError) return error
  const message = error instanceof Error ? error.message : String(error)
  return new EndpointError(engine.endpoint, step, message, neverConnected(error), { cause: error })
}

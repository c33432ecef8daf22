import { randomUUID, timingSafeEqual } from 'node:crypto'
import express, { type NextFunction, type Request, type Response } from 'express'
import type { Logger } from '@forkstage/logger'
import {
  AnswerError,
  digestOf,
  limitBody,
  readBody,
  type AnswerSource,
  type PlainCalls,
  type PlainRequest,
  type RunRegistry,
} from '@forkstage/runner'
import type { Settings } from '@forkstage/settings'
import type { EndpointRow } from '@forkstage/types'
import { BadRequestError, sendError } from './callerErrors'
import { readHeaders } from './readHeaders'
import { parseChatBody, toModelRequest } from './readModelRequest'
import { endWithFailure, writeEventStream, writeJson } from './writeAnswer'

/** Options of {@link createCallerApp}. */
export interface CallerAppOptions {
  settings: Settings
  runs: RunRegistry
  plain: PlainCalls
  rows: () => EndpointRow[]
  /** Returns why new requests are refused; undefined while they are accepted. */
  refusalReason: () => string | undefined
  /** Returns whether the load balancer should send requests to this box. */
  isReady: () => boolean
  logger: Logger
}

interface CallerLocals {
  caller: string
}

/** Creates the HTTP application for callers (docs/callers.md). */
export function createCallerApp(options: CallerAppOptions): express.Express {
  const app = express()
  app.disable('x-powered-by')
  app.get('/readyz', (_request, response) => void response.status(options.isReady() ? 200 : 503).end())
  app.use(authenticate(options.settings))
  app.get('/v1/models', (_request, response) => listModels(response, options.settings))
  app.post(
    '/v1/chat/completions',
    handle((request, response) => serveChat(request, response, options)),
  )
  app.use(
    '/:service',
    handle((request, response) => servePlain(request, response, options)),
  )
  app.use((request: Request, response: Response) => {
    sendError(
      response,
      new BadRequestError(
        'FORKSTAGE_NOT_FOUND',
        `There is no resource at ${request.path}.`,
        'See docs/callers.md for the paths.',
        404,
      ),
    )
  })
  // Express recognizes an error handler by its four parameters.
  app.use((_error: unknown, _request: Request, response: Response, _next: NextFunction) => {
    const hint = 'Correct the request and send it again.'
    sendError(response, new BadRequestError('FORKSTAGE_BAD_REQUEST', 'The request cannot be read.', hint))
  })
  return app
}

function authenticate(settings: Settings) {
  return (request: Request, response: Response, next: NextFunction) => {
    const token = /^Bearer (.+)$/.exec(request.get('authorization') ?? '')?.[1] ?? ''
    const known = settings.callers.find((each) => equalInConstantTime(each.token, token))
    if (known === undefined) {
      const hint = 'Send "authorization: Bearer <token>" with a token from the settings.'
      return sendError(
        response,
        new BadRequestError('FORKSTAGE_UNKNOWN_CALLER', 'The token is not known.', hint, 401),
      )
    }
    ;(response.locals as CallerLocals).caller = known.name
    next()
  }
}

/** Returns whether two strings are equal; compares their digests in constant time. */
export function equalInConstantTime(expected: string, given: string): boolean {
  const expectedDigest = Buffer.from(digestOf(expected))
  return timingSafeEqual(expectedDigest, Buffer.from(digestOf(given)))
}

function handle(serve: (request: Request, response: Response) => Promise<void>) {
  return (request: Request, response: Response) => {
    serve(request, response).catch((error: unknown) => endWithFailure(response, error, undefined))
  }
}

function listModels(response: Response, settings: Settings): void {
  const data = settings.models.map(({ name, service, context_tokens }) => ({
    id: name,
    object: 'model',
    owned_by: service,
    context_tokens,
  }))
  response.json({ object: 'list', data })
}

function assertAcceptsWork(options: CallerAppOptions): void {
  const reason = options.refusalReason()
  if (reason === undefined) return
  throw new AnswerError(
    'FORKSTAGE_NOT_READY',
    `This box accepts no new requests: ${reason}.`,
    'Send the request again; the load balancer will choose another box.',
    503,
    'not-run',
    500,
    { step: 'admit' },
  )
}

async function serveChat(request: Request, response: Response, options: CallerAppOptions): Promise<void> {
  const { settings, runs } = options
  const { caller } = response.locals as CallerLocals
  const headers = readHeaders(request, caller, settings)
  const bytes = await readChatBody(request, settings)
  const body = parseChatBody(bytes)
  const key = headers.key ?? randomUUID()
  const model = toModelRequest(bytes, body, headers, caller, key, settings)
  assertAcceptsWork(options)
  const source = await runs.open(model, headers.lastEventId)
  options.logger.info('request.received', {
    request: source.request,
    caller,
    service: model.service,
    key,
    repeatable: true,
  })
  const metadata = {
    model: model.model,
    promptTokens: model.promptTokens,
    created: Math.floor(Date.now() / 1_000),
  }
  const close = closeOnce(source)
  response.on('close', close)
  try {
    if (body.stream) await writeEventStream(response, source, metadata, headers.lastEventId)
    else await writeJson(response, source, metadata)
  } catch (error) {
    endWithFailure(response, error, source.request)
  } finally {
    close()
  }
}

function closeOnce(source: AnswerSource): () => void {
  let isClosed = false
  return () => {
    if (isClosed) return
    isClosed = true
    source.close()
  }
}

async function readChatBody(request: Request, settings: Settings): Promise<Buffer> {
  const body = await readBody(request, settings.request.max_body_bytes)
  if (body !== undefined) return body
  throw tooLarge(settings)
}

function tooLarge(settings: Settings): BadRequestError {
  const { max_body_bytes: maxBytes } = settings.request
  return new BadRequestError(
    'FORKSTAGE_BODY_TOO_LARGE',
    `The body is larger than ${maxBytes} bytes.`,
    'Send less, or raise request.max_body_bytes.',
    413,
  )
}

async function servePlain(request: Request, response: Response, options: CallerAppOptions): Promise<void> {
  const { settings, plain, runs } = options
  const service = String(request.params.service)
  const rows = options.rows().filter((row) => row.service === service && row.pool === 'plain')
  if (rows.length === 0) {
    throw new BadRequestError(
      'FORKSTAGE_UNKNOWN_SERVICE',
      `There is no plain service "${service}".`,
      'See the table for the services.',
      404,
    )
  }
  const { caller } = response.locals as CallerLocals
  const headers = readHeaders(request, caller, settings)
  const repeatable = headers.repeatable ?? (isSafe(request.method) || rows.every((row) => row.repeatable))
  const needsClaim = headers.key !== undefined || !repeatable
  const length = Number(request.get('content-length') ?? 0)
  if (length > settings.request.max_body_bytes) throw tooLarge(settings)
  const body = needsClaim
    ? await readBody(request, settings.request.max_body_bytes)
    : limitBody(request, settings.request.max_body_bytes)
  if (body === undefined) throw tooLarge(settings)
  assertAcceptsWork(options)
  const call: PlainRequest = {
    request: runs.createId(),
    caller,
    service,
    key: needsClaim ? `${caller}/${headers.key ?? randomUUID()}` : undefined,
    bodyDigest: Buffer.isBuffer(body)
      ? digestOf(Buffer.concat([Buffer.from(`${request.method} ${request.url}\n`), body]))
      : '',
    repeatable,
    method: request.method,
    path: request.url,
    headers: request.headers as Record<string, string | string[]>,
    body: hasBody(request) ? body : undefined,
    deadlineMs: headers.deadlineMs,
  }
  options.logger.info('request.received', {
    request: call.request,
    caller,
    service,
    key: call.key ?? '',
    repeatable,
  })
  await plain.serve(call, response)
}

function isSafe(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS'
}

function hasBody(request: Request): boolean {
  return request.get('content-length') !== undefined || request.get('transfer-encoding') !== undefined
}

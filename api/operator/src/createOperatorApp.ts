import express, { type NextFunction, type Request, type Response } from 'express'
import { z } from 'zod'
import { equalInConstantTime } from '@forkstage/caller-api'
import { ForkstageError, toErrorBody } from '@forkstage/error'
import { answerErrorsAsJson } from '@forkstage/json-errors'
import type { Settings } from '@forkstage/settings'
import type { OperatorService } from './operatorService'

/** Options of {@link createOperatorApp}. */
export interface OperatorAppOptions {
  settings: Settings
  service: OperatorService
}

/** Size of a request body; a table of 11,000 rows is about 3 MB of JSON. */
const MAX_BODY_SIZE = '64mb'
const DEFAULT_ENTRY_LIMIT = 20

const endpointRow = z.strictObject({
  endpoint: z.string(),
  address: z.string(),
  domain: z.string(),
  service: z.string(),
  pool: z.enum(['prefill', 'decode', 'plain']),
  models: z.array(z.string()),
  weight: z.number(),
  maxInFlight: z.number(),
  kvTokens: z.number(),
  promptTokensPerSecond: z.number(),
  state: z.enum(['serve', 'drain', 'out']),
  checksFences: z.boolean(),
  repeatable: z.boolean(),
})
const linkRow = z.strictObject({ from: z.string(), to: z.string(), megabitsPerSecond: z.number() })
const confirmBody = z.strictObject({
  base: z.number().int().min(0),
  confirmId: z.string().min(8).max(200),
  table: z.strictObject({ endpoints: z.array(endpointRow), links: z.array(linkRow) }),
})
const replaceBody = z.strictObject({ lost: z.string(), withAddress: z.string() })
const orderBody = z.strictObject({
  endpoint: z.string(),
  action: z.enum(['loadModel', 'loadAdapter', 'setVersion', 'setRole']),
  argument: z.string(),
})

/** Creates the HTTP application for operators (docs/operators/). */
export function createOperatorApp({ settings, service }: OperatorAppOptions): express.Express {
  const app = express()
  app.disable('x-powered-by')
  addUnauthenticatedRoutes(app, service)
  app.use(authenticate(settings))
  app.use(express.json({ limit: MAX_BODY_SIZE }))
  app.get(
    '/v1/table',
    respond(async () => service.table()),
  )
  app.post(
    '/v1/table/confirm',
    respond(async (request, response) => {
      return service.confirm(parseBody(confirmBody, request.body), String(response.locals.operator))
    }),
  )
  app.get(
    '/v1/table/history',
    respond((request) => service.history(limitOf(request))),
  )
  app.get(
    '/v1/control',
    respond(() => service.control()),
  )
  app.get(
    '/v1/status',
    respond(() => service.status()),
  )
  app.get(
    '/v1/decisions',
    respond(async (request) => service.decisions(limitOf(request))),
  )
  app.get(
    '/v1/explain/:request',
    respond((request) => service.explain(String(request.params.request))),
  )
  app.post(
    '/v1/control/replace',
    respond((request) => {
      const { lost, withAddress } = parseBody(replaceBody, request.body)
      return service.replace(lost, withAddress)
    }),
  )
  app.post(
    '/v1/orders',
    respond((request) => service.order(parseBody(orderBody, request.body))),
  )
  app.post(
    '/v1/stop',
    respond(async () => {
      service.stop()
      return { stopping: true }
    }),
  )
  app.use((error: unknown, _request: Request, response: Response, _next: NextFunction) =>
    sendFailure(response, error, 400),
  )
  answerErrorsAsJson(app, { toBody: (error) => ({ error }) })
  return app
}

function addUnauthenticatedRoutes(app: express.Express, service: OperatorService): void {
  app.get('/healthz', (_request, response) => void response.json({ live: true }))
  app.get('/readyz', (_request, response) => {
    const ready = service.isReady()
    response.status(ready ? 200 : 503).json({ ready })
  })
  app.get('/metrics', async (_request, response) => {
    response.type('text/plain').send(await service.metrics())
  })
}

function authenticate(settings: Settings) {
  return (request: Request, response: Response, next: NextFunction) => {
    const token = /^Bearer (.+)$/.exec(request.get('authorization') ?? '')?.[1] ?? ''
    const operator = settings.operators.find((each) => equalInConstantTime(each.token, token))
    if (operator === undefined) {
      const hint = 'Send "authorization: Bearer <token>" with an operator token from the settings.'
      return sendFailure(
        response,
        new ForkstageError('FORKSTAGE_UNKNOWN_OPERATOR', 'The token is not known.', hint),
        401,
      )
    }
    response.locals.operator = operator.name
    next()
  }
}

function parseBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.infer<Schema> {
  const result = schema.safeParse(body)
  if (result.success) return result.data
  const faults = result.error.issues.slice(0, 20).map((issue) => `${issue.path.join('.')}: ${issue.message}`)
  throw new ForkstageError(
    'FORKSTAGE_BAD_BODY',
    `The body is invalid: ${faults.join('; ')}`,
    'See docs/operators/ for its shape.',
  )
}

function limitOf(request: Request): number {
  const limit = Number(request.query.limit ?? DEFAULT_ENTRY_LIMIT)
  return Number.isInteger(limit) && limit > 0 ? limit : DEFAULT_ENTRY_LIMIT
}

function respond(handle: (request: Request, response: Response) => Promise<unknown>) {
  return (request: Request, response: Response) => {
    handle(request, response).then(
      (body) => response.json(body),
      (error: unknown) => sendFailure(response, error, statusOf(error)),
    )
  }
}

function statusOf(error: unknown): number {
  const { code } = toErrorBody(error)
  if (code === 'FORKSTAGE_BAD_BODY' || code === 'FORKSTAGE_TABLE_FAULTS') return 400
  if (code === 'FORKSTAGE_UNKNOWN_ENDPOINT') return 404
  if (code === 'FORKSTAGE_REPLACE' || code === 'FORKSTAGE_RECONFIGURATION') return 409
  return 503
}

function sendFailure(response: Response, error: unknown, status: number): void {
  response.status(status).json({ error: toErrorBody(error) })
}

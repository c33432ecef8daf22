import type { Server } from 'node:http'
import express, { type Request, type Response } from 'express'
import { NOT_RUN_HEADER, NOT_RUN_VALUE, type AttemptId, type EngineReport } from '@forkstage/engine-client'
import { DEFAULT_PROFILE, type EngineProfile } from './engineProfile'
import { EngineRefusal, EngineState } from './engineState'
import { EngineWork, now } from './engineWork'
import { NO_FAULTS, type EngineFaults } from './faults'
import { fetchKv } from './kvTransfer'
import { listenOn, type RunningFake } from './listenOn'
import { writeStream } from './writeStream'

/** Options of {@link startEngine}. */
export interface StartEngineOptions {
  port: number
  profile?: Partial<EngineProfile>
}

/** A stand-in model engine. */
export interface RunningEngine extends RunningFake {
  state: EngineState
}

/** Starts a model engine that takes its time but computes nothing; its protocol is in docs/endpoints.md. */
export async function startEngine(options: StartEngineOptions): Promise<RunningEngine> {
  const state = new EngineState({ ...DEFAULT_PROFILE, ...options.profile })
  const work = new EngineWork(state)
  const reports = keepReports(state)
  const app = express()
  app.use(express.json({ limit: '16mb' }))
  addWorkRoutes(app, state, work)
  addReportRoutes(app, state, reports)
  addTestRoutes(app, state)
  const server: Server = await listenOn(app, options.port)
  const stop = async () => {
    work.stop()
    reports.stop()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
  return { state, stop }
}

function addWorkRoutes(app: express.Express, state: EngineState, work: EngineWork): void {
  app.post(
    '/v1/prefills',
    answer(async (request) => work.prefill(request.body, request.body.prompt)),
  )
  app.post(
    '/v1/slots',
    answer(async ({ body }) => work.reserve(body, body.tokens, body.leaseMs)),
  )
  app.post('/v1/streams', (request, response) => {
    try {
      const attempt: AttemptId = { request: request.body.request, epoch: request.body.epoch }
      const run = work.decode(attempt, request.body, undefined)
      writeStream(response, run, state, 0)
      void fetchKv(state, work, run)
    } catch (error) {
      refuse(response, error)
    }
  })
  app.get('/v1/streams/:request', (request, response) => {
    try {
      const attempt = attemptOf(request)
      state.admit(attempt, now())
      const run = state.runs.get(attempt.request)
      if (run === undefined) throw new EngineRefusal(404, 'no-stream', true)
      run.epoch = attempt.epoch
      writeStream(response, run, state, Number(request.query.from ?? 0))
    } catch (error) {
      refuse(response, error)
    }
  })
  app.delete(
    '/v1/requests/:request',
    answer(async (request) => work.release(attemptOf(request))),
  )
  app.post(
    '/v1/kv/:request/export',
    answer(async (request) => requireKept(state, attemptOf(request))),
  )
  app.post(
    '/v1/kv/:request/done',
    answer(async (request) => work.exported(attemptOf(request))),
  )
  app.post(
    '/v1/orders',
    answer(async ({ body }) => takeOrder(state, body)),
  )
}

function addReportRoutes(
  app: express.Express,
  state: EngineState,
  reports: ReturnType<typeof keepReports>,
): void {
  app.get('/v1/report', (_request, response) => {
    if (Math.random() < state.faults.dropReports) return void response.status(503).end()
    response.json(reports.lagged())
  })
  app.get(
    '/v1/holds',
    answer(async () => state.holds(now())),
  )
  app.get('/v1/cache-events', (request, response) => {
    const events = state.cache.eventsAfter(Number(request.query.after ?? 0))
    response.json(events.filter(() => Math.random() >= state.faults.dropCacheEvents))
  })
}

function addTestRoutes(app: express.Express, state: EngineState): void {
  app.post('/faults', (request, response) => {
    const faults = request.body as Partial<EngineFaults>
    state.faults = { ...NO_FAULTS, ...faults }
    response.json(state.faults)
  })
  app.get('/record', (_request, response) => void response.json(state.record))
}

/** Takes figures every few milliseconds so that a report can be as old as the faults say. */
function keepReports(state: EngineState) {
  const every = 50
  const taken: { at: number; report: Omit<EngineReport, 'ageMs'> }[] = []
  const take = () => {
    taken.push({ at: now(), report: readReport(state) })
    while (taken.length > 1 && now() - taken[1]!.at > state.faults.reportLagMs) taken.shift()
  }
  take()
  const timer = setInterval(take, every)
  const lagged = (): EngineReport => ({
    ...taken[0]!.report,
    leaving: state.faults.leaving,
    ageMs: now() - taken[0]!.at,
  })
  return { lagged, stop: () => clearInterval(timer) }
}

function readReport(state: EngineState): Omit<EngineReport, 'ageMs'> {
  return {
    queuedPrefillTokens: state.queuedPrefillTokens,
    prefillTokensPerSecond: state.profile.prefillTokensPerSecond,
    runningStreams: state.runningStreams,
    kvTokensUsed: state.kvTokensUsed,
    kvTokensTotal: state.profile.kvTokens,
    stepMs: state.stepMs,
    leaving: state.faults.leaving,
    deterministic: state.profile.deterministic,
  }
}

function requireKept(state: EngineState, attempt: AttemptId): void {
  const job = state.prefills.get(attempt.request)
  if (job?.state !== 'kept') throw new EngineRefusal(404, 'no-result', true)
  job.expiresAt = Infinity
}

function takeOrder(state: EngineState, order: { fence: number; action: string; argument: string }): void {
  if (state.profile.checksFences && order.fence < state.fence)
    throw new EngineRefusal(409, 'old-fence', false)
  state.fence = Math.max(state.fence, order.fence)
  state.record.orders.push({ fence: order.fence, action: order.action, argument: order.argument })
}

function attemptOf(request: Request): AttemptId {
  return { request: String(request.params.request), epoch: Number(request.query.epoch) }
}

function answer(handle: (request: Request) => Promise<unknown>) {
  return async (request: Request, response: Response) => {
    try {
      response.json((await handle(request)) ?? {})
    } catch (error) {
      refuse(response, error)
    }
  }
}

function refuse(response: Response, error: unknown): void {
  if (!(error instanceof EngineRefusal)) throw error
  if (!error.ran) response.setHeader(NOT_RUN_HEADER, NOT_RUN_VALUE)
  response.status(error.status).json({ code: error.code })
}

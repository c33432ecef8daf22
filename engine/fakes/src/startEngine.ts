import type { Server } from 'node:http'
import express, { type Request, type Response } from 'express'
import { NOT_RUN_HEADER, NOT_RUN_VALUE, type AttemptId, type EngineReport } from '@forkstage/engine-client'
import { DEFAULT_PROFILE, type EngineProfile } from './engineProfile'
import { EngineRefusal, EngineState } from './engineState'
import { EngineScheduler, now } from './engineScheduler'
import { NO_FAULTS, type EngineFaults } from './faults'
import { fetchKv } from './kvTransfer'
import { listenOn, type RunningFake } from './listenOn'
import { writeStream } from './writeStream'

/** Options of {@link startEngine}. */
export interface StartEngineOptions {
  port: number
  profile?: Partial<EngineProfile>
}

/** A running fake engine and its state. */
export interface RunningEngine extends RunningFake {
  state: EngineState
}

/** Starts a fake model engine, which takes time but computes nothing; docs/endpoints.md describes its protocol. */
export async function startEngine(options: StartEngineOptions): Promise<RunningEngine> {
  const state = new EngineState({ ...DEFAULT_PROFILE, ...options.profile })
  const scheduler = new EngineScheduler(state)
  const sampler = startReportSampling(state)
  const app = express()
  app.use(express.json({ limit: '16mb' }))
  addWorkRoutes(app, state, scheduler)
  addReportRoutes(app, state, sampler)
  addTestRoutes(app, state)
  const server: Server = await listenOn(app, options.port)
  const stop = async () => {
    scheduler.stop()
    sampler.stop()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
  return { state, stop }
}

function addWorkRoutes(app: express.Express, state: EngineState, scheduler: EngineScheduler): void {
  app.post(
    '/v1/prefills',
    respondJson(async (request) => scheduler.prefill(request.body, request.body.prompt)),
  )
  app.post(
    '/v1/slots',
    respondJson(async ({ body }) => scheduler.reserve(body, body.tokens, body.leaseMs)),
  )
  app.post('/v1/streams', (request, response) => {
    try {
      const attempt: AttemptId = { request: request.body.request, epoch: request.body.epoch }
      const run = scheduler.decode(attempt, request.body, undefined)
      writeStream(response, run, state, 0)
      void fetchKv(state, scheduler, run)
    } catch (error) {
      sendRefusal(response, error)
    }
  })
  app.get('/v1/streams/:request', (request, response) => {
    try {
      const attempt = readAttempt(request)
      state.admit(attempt, now())
      const run = state.runs.get(attempt.request)
      if (run === undefined) throw new EngineRefusal(404, 'no-stream', true)
      run.epoch = attempt.epoch
      writeStream(response, run, state, Number(request.query.from ?? 0))
    } catch (error) {
      sendRefusal(response, error)
    }
  })
  app.delete(
    '/v1/requests/:request',
    respondJson(async (request) => scheduler.release(readAttempt(request))),
  )
  app.post(
    '/v1/kv/:request/export',
    respondJson(async (request) => pinKeptPrefill(state, readAttempt(request))),
  )
  app.post(
    '/v1/kv/:request/done',
    respondJson(async (request) => scheduler.dropExportedPrefill(readAttempt(request))),
  )
  app.post(
    '/v1/orders',
    respondJson(async ({ body }) => applyOrder(state, body)),
  )
}

function addReportRoutes(
  app: express.Express,
  state: EngineState,
  sampler: ReturnType<typeof startReportSampling>,
): void {
  app.get('/v1/report', (_request, response) => {
    if (Math.random() < state.faults.dropReports) return void response.status(503).end()
    response.json(sampler.laggedReport())
  })
  app.get(
    '/v1/holds',
    respondJson(async () => state.holds(now())),
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

/** Samples the load at intervals, so that a report can be as old as the faults require. */
function startReportSampling(state: EngineState) {
  const intervalMs = 50
  const samples: { at: number; report: Omit<EngineReport, 'ageMs'> }[] = []
  const takeSample = () => {
    samples.push({ at: now(), report: readReport(state) })
    while (samples.length > 1 && now() - samples[1]!.at > state.faults.reportLagMs) samples.shift()
  }
  takeSample()
  const timer = setInterval(takeSample, intervalMs)
  const laggedReport = (): EngineReport => ({
    ...samples[0]!.report,
    leaving: state.faults.leaving,
    ageMs: now() - samples[0]!.at,
  })
  return { laggedReport, stop: () => clearInterval(timer) }
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

function pinKeptPrefill(state: EngineState, attempt: AttemptId): void {
  const job = state.prefills.get(attempt.request)
  if (job?.state !== 'kept') throw new EngineRefusal(404, 'no-result', true)
  job.expiresAt = Infinity
}

function applyOrder(state: EngineState, order: { fence: number; action: string; argument: string }): void {
  if (state.profile.checksFences && order.fence < state.fence)
    throw new EngineRefusal(409, 'old-fence', false)
  state.fence = Math.max(state.fence, order.fence)
  state.record.orders.push({ fence: order.fence, action: order.action, argument: order.argument })
}

function readAttempt(request: Request): AttemptId {
  return { request: String(request.params.request), epoch: Number(request.query.epoch) }
}

function respondJson(handle: (request: Request) => Promise<unknown>) {
  return async (request: Request, response: Response) => {
    try {
      response.json((await handle(request)) ?? {})
    } catch (error) {
      sendRefusal(response, error)
    }
  }
}

function sendRefusal(response: Response, error: unknown): void {
  if (!(error instanceof EngineRefusal)) throw error
  if (!error.ran) response.setHeader(NOT_RUN_HEADER, NOT_RUN_VALUE)
  response.status(error.status).json({ code: error.code })
}

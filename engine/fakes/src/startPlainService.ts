import express from 'express'
import { listenOn, type RunningFake } from './listenOn'

/** One call that the service ran. */
export interface PlainCall {
  method: string
  url: string
  key: string | undefined
  bytes: number
}

/** Faults of a fake plain service, set with `POST /faults`. */
export interface PlainFaults {
  /** Calls run, but the connection is cut before the answer. */
  cutAfterRun: boolean
  /** Delay of each answer. */
  delayMs: number
  /** Calls are refused with proof that they did not run. */
  refuse: boolean
}

const NO_PLAIN_FAULTS: PlainFaults = { cutAfterRun: false, delayMs: 0, refuse: false }

/** Starts a fake plain service that records its calls and echoes their bodies. */
export async function startPlainService(options: { port: number }): Promise<RunningFake> {
  const calls: PlainCall[] = []
  let faults = NO_PLAIN_FAULTS
  const app = express()
  app.get('/record', (_request, response) => void response.json(calls))
  app.post('/faults', express.json(), (request, response) => {
    faults = { ...NO_PLAIN_FAULTS, ...(request.body as Partial<PlainFaults>) }
    response.json(faults)
  })
  app.use(express.raw({ type: () => true, limit: '64mb' }), (request, response) => {
    if (faults.refuse)
      return void response.status(503).setHeader('x-endpoint-ran', 'no').json({ code: 'refused' })
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
    calls.push({
      method: request.method,
      url: request.url,
      key: request.get('idempotency-key'),
      bytes: body.length,
    })
    if (faults.cutAfterRun) return void request.socket.destroy()
    const reply = () => {
      response.setHeader('x-served', String(calls.length))
      response.type(request.get('content-type') ?? 'text/plain')
      response.send(body.length > 0 ? body : Buffer.from(`${request.method} ${request.url}`))
    }
    setTimeout(reply, faults.delayMs)
  })
  const server = await listenOn(app, options.port)
  const stop = async () => {
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
  return { stop }
}

import { Agent, request as httpRequest } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** Starts an entry and a worker that sends no answer until `answerAll` is called. */
async function start() {
  const waiting: SeenRequest[] = []
  const worker = await FakeWorker.start((request) => waiting.push(request))
  const harness = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'unsafe' }])
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  open.push(harness, worker, { stop: () => agent.destroy() })
  const send = (id: string) =>
    new Promise<{ status: number; connection?: string; reused: boolean }>((resolve, reject) => {
      const request = httpRequest({
        host: '127.0.0.1',
        port: harness.port,
        path: '/p/',
        agent,
        headers: { host: 'h.example', 'x-id': id, 'x-deadline': '4000' },
      })
      request.on('error', reject)
      request.on('response', (response) => {
        response.resume()
        const { connection } = response.headers
        response.on('end', () =>
          resolve({ status: response.statusCode!, connection, reused: request.reusedSocket }),
        )
      })
      request.end()
    })
  const answerAll = () =>
    waiting.splice(0).forEach((request) => request.socket.end(goodAnswer(request, 'ok')))
  return { harness, worker, send, answerAll, agent }
}

describe('an entry that shuts down', () => {
  it('keeps connections open for further requests before that', async () => {
    const { worker, send, answerAll } = await start()
    const first = send('r1')
    await worker.waitForSeen(1)
    answerAll()
    await first
    const second = send('r2')
    await worker.waitForSeen(2)
    answerAll()
    expect(await second).toMatchObject({ status: 200, reused: true })
  })

  it('completes running requests and then closes their connections, although these were to be kept alive', async () => {
    const { harness, worker, send, answerAll, agent } = await start()
    const running = send('r1')
    await worker.waitForSeen(1)
    harness.ingress.leave()
    harness.ingress.close()
    const closed = new Promise((resolve) => Object.values(agent.sockets)[0]![0]!.on('close', resolve))
    answerAll()
    expect(await running).toMatchObject({ status: 200 })
    await closed
  })

  it('refuses requests that arrive after it has closed, with a backoff', async () => {
    const { harness, worker } = await start()
    const early = harness.open('/p/')
    early.request.flushHeaders()
    early.request.on('error', () => undefined)
    await new Promise((resolve) => early.request.on('socket', (socket) => socket.once('connect', resolve)))
    const taken = new Promise((resolve) => harness.ingress.server.once('request', resolve))
    harness.ingress.leave()
    early.request.end()
    await taken
    harness.ingress.close()
    const late = await early.answer
    expect(late.status).toBe(503)
    expect(Number(late.headers['retry-after'])).toBeGreaterThan(0)
    expect(worker.seen).toHaveLength(0)
  })
})

import { once } from 'node:events'
import { Agent, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
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

const eventually = async (condition: () => boolean) => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

const requestText = (id: string) =>
  `GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Id: ${id}\r\nX-Deadline: 4000\r\n\r\n`

/** Larger than the buffers of both sockets of a loopback connection. */
const LARGE_BODY = 'x'.repeat(15 * 1024 * 1024)

/** Opens a connection of a caller that records what it reads and how it ends. */
function openSocket(port: number) {
  const socket = connect({ host: '127.0.0.1', port })
  open.push({ stop: () => socket.destroy() })
  let text = ''
  socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
  const ended = new Promise<string>((resolve) => {
    socket.on('end', () => resolve('end'))
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message))
  })
  return { socket, text: () => text, ended, connected: once(socket, 'connect') }
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
    void harness.ingress.close()
    const closed = new Promise((resolve) => Object.values(agent.sockets)[0]![0]!.on('close', resolve))
    answerAll()
    expect(await running).toMatchObject({ status: 200 })
    await closed
  })

  it('announces in the answers to running requests that it will close their connections', async () => {
    const { harness, worker, send, answerAll } = await start()
    const running = send('r1')
    await worker.waitForSeen(1)
    harness.ingress.leave()
    answerAll()
    expect(await running).toMatchObject({ status: 200, connection: 'close' })
  })

  it('serves a further request on a connection whose answer had begun before', async () => {
    const { harness, worker, send, answerAll } = await start()
    const first = send('r1')
    await worker.waitForSeen(1)
    answerAll()
    await first
    harness.ingress.leave()
    const second = send('r2')
    await worker.waitForSeen(2)
    answerAll()
    expect(await second).toMatchObject({ status: 200, reused: true, connection: 'close' })
  })

  // Guards against requests that a stop resets although it could have read them.
  it('refuses a request that lies unread when it closes, with a backoff, on a kept connection and on a new one', async () => {
    const { harness, worker } = await start()
    const [kept, fresh] = [openSocket(harness.port), openSocket(harness.port)]
    await Promise.all([kept.connected, fresh.connected])
    kept.socket.write('GET /none/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\n\r\n')
    await eventually(() => kept.text().includes('404'))
    harness.ingress.leave()
    // Both requests are in the kernel's buffers when the entry closes.
    kept.socket.write('GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r2\r\n\r\n')
    fresh.socket.write('GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r3\r\n\r\n')
    await harness.ingress.close()
    for (const { text, ended } of [kept, fresh]) {
      expect(await ended).toBe('end')
      const answer = text().slice(text().indexOf('HTTP/1.1 503'))
      expect(answer).toContain('Retry-After: 0.050')
      expect(answer).toContain('Connection: close')
    }
    expect(worker.seen).toHaveLength(0)
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
    void harness.ingress.close()
    const late = await early.answer
    expect(late.status).toBe(503)
    expect(Number(late.headers['retry-after'])).toBeGreaterThan(0)
    expect(worker.seen).toHaveLength(0)
  })

  it.each(['leaves', 'is overloaded'])(
    'answers both of two requests that a caller sent without waiting, although the first answer was to close: it %s',
    async (state) => {
      const { harness, worker, answerAll } = await start()
      const { socket, text, ended, connected } = openSocket(harness.port)
      await connected
      if (state === 'leaves') harness.ingress.leave()
      else harness.gate.isLimiting = true
      socket.write(requestText('r1') + requestText('r2'))
      let isEnded = false
      void ended.then(() => (isEnded = true))
      await eventually(() => {
        answerAll()
        return isEnded
      })
      const statuses = [...text().matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status)
      expect(statuses).toHaveLength(2)
      expect(worker.seen).toHaveLength(statuses.filter((status) => status === '200').length)
      expect(text().match(/Connection: close/g)).toHaveLength(1)
    },
  )

  it('sends no request on that comes behind an answer that closes its connection', async () => {
    const { harness, worker } = await start()
    const { socket, connected } = openSocket(harness.port)
    await connected
    harness.ingress.leave()
    socket.write(requestText('r1'))
    await worker.waitForSeen(1)
    socket.pause()
    worker.seen[0]!.socket.end(goodAnswer(worker.seen[0]!, LARGE_BODY))
    await eventually(() => harness.ingress.unsentBytes > 0)
    socket.write(requestText('r2'))
    const isLogged = () => JSON.stringify(harness.warnings).includes('request.unanswerable')
    await eventually(() => isLogged() || worker.seen.length > 1)
    expect(worker.seen).toHaveLength(1)
  })
})

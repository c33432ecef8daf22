// Guards against requests that an entry accepts late in a stop and cuts at its end, after an endpoint has begun them.
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '@forkstage/clock'
import type { Route } from '@forkstage/routes'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const KINDS: Partial<Route>[] = [
  { kind: 'safe' },
  { kind: 'unsafe' },
  { kind: 'streaming', shares: [{ service: 'model', weight: 1 }] },
  { kind: 'streaming', shares: [{ service: 'model', weight: 1 }], resumable: true },
]
const describeKind = ({ kind, resumable }: Partial<Route>) =>
  resumable === true ? `resumable ${kind}` : kind

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

const eventually = async (condition: () => boolean) => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

/** Starts an entry with two endpoints, whose requests wait until the test answers them. */
async function start(route: Partial<Route>) {
  const waiting: SeenRequest[] = []
  const workers = await Promise.all([0, 1].map(() => FakeWorker.start((request) => waiting.push(request))))
  const kind =
    route.kind === 'streaming' ? { service: 'model', stage: 'decode' as const } : { service: 'plain' }
  const endpoints = workers.map(({ address }) => ({ address, ...kind }))
  const harness = await GatewayHarness.start(endpoints, [route])
  open.push(harness, ...workers)
  const answerNext = () => {
    const request = waiting.shift()!
    request.socket.end(route.kind === 'streaming' ? streamOf(request) : goodAnswer(request, 'ok'))
  }
  /** Sends a request whose answer takes so long by the entry's clock. */
  const answerIn = async (ms: number) => {
    const sent = harness.send('/p/')
    await eventually(() => waiting.length > 0)
    harness.aheadMs += ms
    answerNext()
    expect((await sent).status).toBe(200)
  }
  /** Begins a stop that ends after a time. */
  const leave = (leftMs: number) =>
    harness.ingress.leave(createSystemClock().now() + harness.aheadMs + leftMs)
  const seen = () => workers.flatMap((worker) => worker.seen)
  return { harness, waiting, answerNext, answerIn, leave, seen }
}

function streamOf(request: SeenRequest): string {
  const head = goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'])
  return `${head}${chunk(event(1))}0\r\n\r\n`
}

describe.each(KINDS.map((route) => ({ route, name: describeKind(route) })))(
  'an entry that stops and gets a $name request',
  ({ route }) => {
    it('sends it on where recent answers took a small part of the time that is left', async () => {
      const { harness, waiting, answerNext, answerIn, leave } = await start(route)
      await answerIn(300)
      leave(3_000)
      const late = harness.send('/p/')
      await eventually(() => waiting.length > 0)
      answerNext()
      expect(await late).toMatchObject({ status: 200, isWhole: true })
    })

    it('refuses it as not run where recent answers took nearly all of the time that is left', async () => {
      const { harness, answerIn, leave, seen } = await start(route)
      await answerIn(2_500)
      leave(3_000)
      const { status, headers } = await harness.send('/p/')
      expect({ status, ...headers }).toMatchObject({
        status: 503,
        'retry-after': '0.050',
        connection: 'close',
      })
      expect(seen()).toHaveLength(1)
      const outcome = 'the answer may not be complete before this entry ends'
      expect(harness.reports.at(-1)).toMatchObject({ status: 503, outcome, sends: [] })
    })

    it('refuses it without recent answers, unless its caller waits for less than is left', async () => {
      const { harness, waiting, answerNext, leave, seen } = await start(route)
      leave(3_000)
      expect((await harness.send('/p/')).status).toBe(503)
      expect(seen()).toHaveLength(0)
      const short = harness.send('/p/', { headers: { 'x-deadline': '2000' } })
      await eventually(() => waiting.length > 0)
      answerNext()
      expect((await short).status).toBe(200)
    })

    it('refuses it while another has been running for nearly all of the time that is left, and serves that one on', async () => {
      const { harness, waiting, answerNext, answerIn, leave, seen } = await start(route)
      await answerIn(300)
      const running = harness.send('/p/')
      await eventually(() => waiting.length > 0)
      harness.aheadMs += 2_500
      leave(3_000)
      expect((await harness.send('/p/')).status).toBe(503)
      expect(seen()).toHaveLength(2)
      answerNext()
      expect((await running).status).toBe(200)
    })

    it('refuses it behind an answer that its connection still waits for', async () => {
      const { harness, waiting, answerNext, answerIn, leave, seen } = await start(route)
      await answerIn(300)
      const socket = connect({ host: '127.0.0.1', port: harness.port })
      open.push({ stop: () => socket.destroy() })
      let text = ''
      socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
      const request = 'GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Deadline: 4000\r\n\r\n'
      socket.write(request)
      await eventually(() => waiting.length > 0)
      leave(3_000)
      socket.write(request)
      await eventually(() => harness.reports.some(({ status }) => status === 503))
      answerNext()
      await eventually(() => text.includes('HTTP/1.1 503'))
      expect(text).toMatch(/^HTTP\/1\.1 200/)
      expect(seen()).toHaveLength(2)
    })
  },
)

describe('a safe request whose endpoint breaks off', () => {
  it('is not sent to another one in a stop whose end that one would not meet', async () => {
    const { harness, waiting, answerIn, leave, seen } = await start({ kind: 'safe' })
    await answerIn(1_000)
    leave(3_000)
    const late = harness.send('/p/')
    await eventually(() => waiting.length > 0)
    harness.aheadMs += 2_000
    waiting.shift()!.socket.destroy()
    expect((await late).status).toBe(502)
    expect(seen()).toHaveLength(2)
  })

  it('is sent to another one as before if it was running when the stop began', async () => {
    const { harness, waiting, answerNext, answerIn, leave } = await start({ kind: 'safe' })
    await answerIn(1_000)
    const running = harness.send('/p/')
    await eventually(() => waiting.length > 0)
    leave(3_000)
    harness.aheadMs += 2_000
    waiting.shift()!.socket.destroy()
    await eventually(() => waiting.length > 0)
    answerNext()
    expect((await running).status).toBe(200)
  })
})

it('a request that waits for room while a stop begins is refused once its answer would outlast the stop', async () => {
  const { harness, answerIn, leave, seen } = await start({
    kind: 'streaming',
    shares: [{ service: 'model', weight: 1 }],
  })
  await answerIn(1_000)
  leave(3_000)
  harness.onPlace = () => (harness.aheadMs += 2_000)
  expect((await harness.send('/p/')).status).toBe(503)
  expect(seen()).toHaveLength(1)
})

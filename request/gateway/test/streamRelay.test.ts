import { afterEach, describe, expect, it } from 'vitest'
import type { Stage } from '@forkstage/directory'
import type { Route } from '@forkstage/routes'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

type Answerer = (request: SeenRequest) => void

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** Starts an entry with engines of the given stages. */
async function start(engines: [Stage, Answerer][], route: Partial<Route> = {}) {
  const workers = await Promise.all(engines.map(([, answer]) => FakeWorker.start(answer)))
  const endpoints = workers.map(({ address }, index) => ({
    address,
    service: 'model',
    stage: engines[index]![0],
  }))
  const shares = [{ service: 'model', weight: 1 }]
  const harness = await GatewayHarness.start(endpoints, [
    { kind: 'streaming', shares, attempts: 1, ...route },
  ])
  open.push(harness, ...workers)
  return { harness, workers }
}

const reads: Answerer = (request) => {
  const isRelease = request.line.startsWith('DELETE')
  request.socket.end(
    isRelease ? 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n' : goodAnswer(request, 'handle7'),
  )
}

/** Begins a chunked stream with the given events. */
function stream(request: SeenRequest, ids: number[]): void {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  for (const id of ids) request.socket.write(chunk(event(id)))
}

const streams =
  (ids: number[]): Answerer =>
  (request) => {
    stream(request, ids)
    request.socket.end('0\r\n\r\n')
  }
const breaksAfter =
  (ids: number[], rest = ''): Answerer =>
  (request) => {
    stream(request, ids)
    if (rest !== '') request.socket.write(chunk(rest))
    setImmediate(() => request.socket.destroy())
  }
const notRun: Answerer = (request) =>
  void request.socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
const events = (...ids: number[]) => ids.map(event).join('')

describe('streams', () => {
  it('are prefilled at one engine and decoded at another, which gets the address of the KV cache', async () => {
    const { harness, workers } = await start([
      ['prefill', reads],
      ['decode', streams([1, 2, 3])],
    ])
    const answer = await harness.send('/p/x', { body: 'prompt' })
    expect(answer).toMatchObject({ status: 200, body: events(1, 2, 3), isWhole: true })
    const [prefill, decode] = workers.map((worker) => worker.seen)
    expect(prefill![0]).toMatchObject({ body: 'prompt', headers: { 'x-stage': 'read' } })
    expect(decode![0]!.headers['x-kv-from']).toBe(`${workers[0]!.address}#handle7`)
    expect(prefill).toHaveLength(1)
  })

  it('are prefilled by another engine if the first one fails', async () => {
    const { harness, workers } = await start([
      ['prefill', (request) => void request.socket.destroy()],
      ['prefill', reads],
      ['decode', streams([1, 2])],
    ])
    // Which of the two comes first is random.
    for (let times = 0; times < 4; times += 1)
      expect(await harness.send('/p/')).toMatchObject({ status: 200, body: events(1, 2) })
    const sources = workers[2]!.seen.map(({ headers }) => headers['x-kv-from'])
    expect(sources).toEqual(Array(4).fill(`${workers[1]!.address}#handle7`))
  })

  it('are prefilled and decoded by the decode engine if no prefill engine answers', async () => {
    const { harness, workers } = await start([
      ['prefill', (request) => void request.socket.destroy()],
      ['decode', streams([1, 2])],
    ])
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: events(1, 2) })
    expect(workers[1]!.seen[0]!.headers['x-kv-from']).toBeUndefined()
  })

  it('are prefilled by the decode engine if the prefill engine accepts the prompt and hangs', async () => {
    const { harness, workers } = await start(
      [
        ['prefill', () => undefined],
        ['decode', streams([1, 2])],
      ],
      { targetMs: 100 },
    )
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: events(1, 2) })
    await workers[0]!.seen[0]!.closed
  })

  it('leave an engine that sends no event if the route allows it, after closing the connection to it', async () => {
    let hung: SeenRequest | undefined
    const firstHangs: Answerer = (request) => {
      if (hung === undefined) hung = request
      else streams([1, 2])(request)
    }
    const route = { targetMs: 100, resumable: true, attempts: 2 }
    const { harness } = await start(
      [
        ['decode', firstHangs],
        ['decode', firstHangs],
      ],
      route,
    )
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: events(1, 2), isWhole: true })
    await hung!.closed
  })

  it('stay at an engine that sends no event if the route allows no other', async () => {
    const slow: Answerer = (request) => void setTimeout(() => streams([1, 2])(request), 300)
    const { harness, workers } = await start([['decode', slow]], { targetMs: 100 })
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: events(1, 2) })
    expect(workers[0]!.seen).toHaveLength(1)
  })

  it('release a KV cache that no engine has fetched', async () => {
    const { harness, workers } = await start([
      ['prefill', reads],
      ['decode', notRun],
    ])
    expect((await harness.send('/p/')).status).toBe(503)
    await workers[0]!.waitForSeen(2)
    expect(workers[0]!.seen[1]!.line).toBe('DELETE /free/handle7 HTTP/1.1')
    expect(workers[0]!.seen[1]!.headers.host).toBe(workers[0]!.address)
  })

  it('that break off look cut to the caller, and are not resumed if the route forbids it', async () => {
    const { harness, workers } = await start([
      ['decode', breaksAfter([1, 2])],
      ['decode', streams([1, 2, 3])],
    ])
    const answer = await harness.send('/p/')
    expect(answer.isWhole).toBe(false)
    expect(answer.body).toBe(events(1, 2))
    expect(workers[0]!.seen.length + workers[1]!.seen.length).toBe(1)
  })

  it('that break off before the first event are answered as possibly run', async () => {
    const { harness } = await start([['decode', breaksAfter([])]])
    const answer = await harness.send('/p/')
    expect(answer.status).toBe(502)
    expect(answer.headers['retry-after']).toBeUndefined()
  })

  it('resume at another engine if the route allows it, without a missing, duplicate or cut event', async () => {
    const continues: Answerer = (request) => {
      const last = Number(request.headers['last-event-id'] ?? 0)
      streams([1, 2, 3, 4, 5].filter((id) => id > last))(request)
    }
    const half = 'id: 3\ndata: to'
    const { harness, workers } = await start(
      [
        [
          'decode',
          (request) =>
            (request.headers['last-event-id'] === undefined ? breaksAfter([1, 2], half) : continues)(request),
        ],
        [
          'decode',
          (request) =>
            (request.headers['last-event-id'] === undefined ? breaksAfter([1, 2], half) : continues)(request),
        ],
      ],
      { resumable: true, attempts: 2 },
    )
    expect(await harness.send('/p/')).toMatchObject({
      status: 200,
      body: events(1, 2, 3, 4, 5),
      isWhole: true,
    })
    const all = workers.flatMap((worker) => worker.seen)
    expect(all.map((request) => request.headers['last-event-id'])).toEqual(
      expect.arrayContaining([undefined, '2']),
    )
    expect(all).toHaveLength(2)
  })

  it('are not prefilled again for a sending that the retry budget denies', async () => {
    const { harness, workers } = await start(
      [
        ['prefill', reads],
        ['decode', breaksAfter([])],
      ],
      { resumable: true, attempts: 2 },
    )
    const reading = workers[0]!
    const answer = harness.send('/p/')
    await reading.waitForSeen(1)
    while (harness.retryBudget.take('model'));
    expect((await answer).status).toBe(502)
    expect(reading.seen.filter(({ line }) => !line.startsWith('DELETE'))).toHaveLength(1)
  })

  it('do not repeat events that an engine sends again', async () => {
    const { harness } = await start(
      [
        [
          'decode',
          (request) =>
            (request.headers['last-event-id'] === undefined ? breaksAfter([1, 2]) : streams([1, 2, 3]))(
              request,
            ),
        ],
        [
          'decode',
          (request) =>
            (request.headers['last-event-id'] === undefined ? breaksAfter([1, 2]) : streams([1, 2, 3]))(
              request,
            ),
        ],
      ],
      { resumable: true, attempts: 2 },
    )
    expect((await harness.send('/p/')).body).toBe(events(1, 2, 3))
  })

  it('forward each event as it arrives', async () => {
    let finish: () => void = () => undefined
    const { harness } = await start([
      [
        'decode',
        (request) => {
          stream(request, [1])
          finish = () => void request.socket.end(`${chunk(event(2))}0\r\n\r\n`)
        },
      ],
    ])
    const { request, answer } = harness.open('/p/')
    const first = new Promise<string>((resolve) =>
      request.on('response', (response) =>
        response.once('data', (bytes: Buffer) => resolve(bytes.toString())),
      ),
    )
    request.end()
    expect(await first).toBe(event(1))
    finish()
    expect((await answer).isWhole).toBe(true)
  })

  it('stop the engine when the caller disconnects', async () => {
    const { harness, workers } = await start([['decode', (request) => stream(request, [1])]])
    const { request } = harness.open('/p/')
    const begun = new Promise((resolve) =>
      request.on('response', (response) => response.once('data', resolve)),
    )
    request.on('error', () => undefined)
    request.end()
    await begun
    request.destroy()
    await workers[0]!.seen[0]!.closed
  })

  it('are sent in chunks if the engine named no length', async () => {
    const { harness } = await start([
      ['decode', (request) => void request.socket.end(goodAnswer(request, event(1), ['Connection: close']))],
    ])
    const answer = await harness.send('/p/')
    expect(answer).toMatchObject({ body: event(1), isWhole: true })
    expect(answer.headers['transfer-encoding']).toBe('chunked')
  })

  it('are refused with a retry delay if no decode engine is known', async () => {
    const { harness } = await start([['prefill', reads]])
    const answer = await harness.send('/p/')
    expect(answer.status).toBe(503)
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
  })
})

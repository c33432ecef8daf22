import { afterEach, describe, expect, it } from 'vitest'
import type { CallerLimits, Route } from '@forkstage/routes'
import { FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { deadAddress, GatewayHarness } from './gatewayHarness'

type Answerer = (request: SeenRequest) => void

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** Starts an entry with workers that answer as given; they are the instances `i-0`, `i-1` and so on. */
async function start(answerers: Answerer[], route: Partial<Route> = {}, limits: Partial<CallerLimits> = {}) {
  const workers = await Promise.all(answerers.map((answer) => FakeWorker.start(answer)))
  const harness = await GatewayHarness.start(
    workers.map(({ address }) => ({ address })),
    [route],
    limits,
  )
  open.push(harness, ...workers)
  return { harness, workers, runs: () => workers.reduce((sum, worker) => sum + worker.seen.length, 0) }
}

const answerWith =
  (text: string): Answerer =>
  (request) =>
    void request.socket.end(text)
const good: Answerer = (request) => void request.socket.end(goodAnswer(request, 'hello'))
const reset: Answerer = (request) => void request.socket.resetAndDestroy()
const notRun = answerWith('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
const ownFailure: Answerer = (request) =>
  void request.socket.end(
    `HTTP/1.1 500 No\r\nx-id: ${request.headers['x-id']}\r\nx-stamp: s\r\nContent-Length: 2\r\n\r\nno`,
  )

describe('plain requests', () => {
  it('are forwarded unchanged, with the expected instance and remaining time, without reserved headers', async () => {
    const { harness, workers } = await start([good])
    const headers = { 'x-other': 'kept', 'x-expect': 'forged', 'x-stage': 'forged', 'x-deadline': '4000' }
    const answer = await harness.send('/p/a?b=c', { headers, body: 'the body' })
    expect(answer).toMatchObject({ status: 200, body: 'hello', isWhole: true })
    expect(answer.headers['x-stamp']).toBe('signed')
    const seen = workers[0]!.seen[0]!
    expect(seen.line).toBe('POST /p/a?b=c HTTP/1.1')
    expect(seen).toMatchObject({
      body: 'the body',
      headers: { 'x-id': 'r1', 'x-other': 'kept', 'x-expect': 'i-0' },
    })
    expect(seen.headers['x-stage']).toBeUndefined()
    expect(Number(seen.headers['x-deadline'])).toBeGreaterThan(3_000)
    expect(Number(seen.headers['x-deadline'])).toBeLessThanOrEqual(4_000)
  })

  it('are all answered by a sound endpoint beside one whose address cannot be connected to', async () => {
    const worker = await FakeWorker.start(good)
    const harness = await GatewayHarness.start(
      [{ address: '127.0.0.1:99999' }, { address: worker.address }],
      [{}],
    )
    open.push(harness, worker)
    const answers = await Promise.all(Array.from({ length: 20 }, () => harness.send('/p/')))
    expect(answers.map(({ status }) => status)).toEqual(Array.from({ length: 20 }, () => 200))
  })

  it('are answered 404 without a route, 400 without an id, 413 above the limit', async () => {
    const { harness, runs } = await start([good])
    expect((await harness.send('/none/')).status).toBe(404)
    expect((await harness.send('/p/', { headers: { 'x-id': '' } })).status).toBe(400)
    expect((await harness.send('/p/', { body: 'x'.repeat(2_000) })).status).toBe(413)
    expect(runs()).toBe(0)
  })

  it('may have headers up to the limit of the route sheet in force, and are answered 431 far above it', async () => {
    const { harness, runs } = await start([good], {}, { maxHeaderBytes: 60_000 })
    expect((await harness.send('/p/', { headers: { 'x-long': 'x'.repeat(55_000) } })).status).toBe(200)
    expect((await harness.send('/p/', { headers: { 'x-long': 'x'.repeat(150_000) } })).status).toBe(431)
    expect(runs()).toBe(1)
  })

  it('that may run once are not sent again after a reset, and are not reported as not run', async () => {
    const { harness, runs } = await start([reset, reset], { kind: 'unsafe' })
    const answer = await harness.send('/p/')
    expect(answer.status).toBe(502)
    expect(answer.headers['retry-after']).toBeUndefined()
    expect(runs()).toBe(1)
  })

  it('that may run once go to another worker after proof that the first did not run them', async () => {
    const { harness, runs } = await start([notRun, good], { kind: 'unsafe' })
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: 'hello' })
    expect(runs()).toBe(2)
  })

  it('that no worker ran get 503 with a retry delay', async () => {
    const { harness } = await start([notRun], { kind: 'unsafe' })
    const answer = await harness.send('/p/')
    expect(answer.status).toBe(503)
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
  })

  it('are sent to another worker if nothing listens at an address', async () => {
    const worker = await FakeWorker.start(good)
    const harness = await GatewayHarness.start(
      [{ address: await deadAddress() }, { address: worker.address }],
      [{ kind: 'unsafe' }],
    )
    open.push(harness, worker)
    expect(await harness.send('/p/')).toMatchObject({ status: 200 })
  })

  it('that may be repeated are retried after a failure, up to the attempts of the route', async () => {
    const { harness, runs } = await start([ownFailure, ownFailure, ownFailure])
    expect(await harness.send('/p/')).toMatchObject({ status: 500, body: 'no' })
    expect(runs()).toBe(2)
  })

  it.each([
    [
      "another request's answer",
      answerWith('HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: s\r\nContent-Length: 2\r\n\r\nno'),
    ],
    [
      'a success without a signature',
      answerWith('HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 2\r\n\r\nno'),
    ],
    ['bytes that are not HTTP', answerWith('what is this\r\n\r\n')],
    [
      'an answer shorter than its length',
      answerWith('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\nContent-Length: 9\r\n\r\nno'),
    ],
  ])('never forward %s', async (_what, bad) => {
    const { harness } = await start([bad], { kind: 'unsafe' })
    const answer = await harness.send('/p/')
    expect(answer).toMatchObject({ status: 502 })
    expect(answer.body).not.toContain('no"')
    expect(answer.headers['x-stamp']).toBeUndefined()
  })

  it('accept a complete answer although more bytes follow', async () => {
    const { harness } = await start([
      (request) => void request.socket.end(`${goodAnswer(request, 'hello')}HTTP/1.1 200 OK\r\n\r\nmore`),
    ])
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: 'hello', isWhole: true })
  })

  it('forward an answer without a length without adding one, so that a cut answer does not look complete', async () => {
    const { harness } = await start([
      (request) => void request.socket.end(goodAnswer(request, 'half', ['Connection: close'])),
    ])
    const answer = await harness.send('/p/')
    expect(answer.body).toBe('half')
    expect(answer.headers['content-length']).toBeUndefined()
    expect(answer.headers['transfer-encoding']).toBeUndefined()
  })

  it('do not forward an answer without a length whose connection was reset', async () => {
    const { harness } = await start(
      [
        (request) => {
          request.socket.write(goodAnswer(request, 'half', ['Connection: close']), () =>
            setImmediate(() => request.socket.resetAndDestroy()),
          )
        },
      ],
      { kind: 'unsafe' },
    )
    expect((await harness.send('/p/')).status).toBe(502)
  })

  it('go to another worker if another process owns the address, which gets no further request', async () => {
    const other = answerWith(
      'HTTP/1.1 421 Other\r\nx-instance: i-9\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n',
    )
    const { harness, workers } = await start([other, good], { kind: 'unsafe' })
    for (let index = 0; index < 4; index += 1)
      expect((await harness.send('/p/', { headers: { 'x-id': `r${index}` } })).status).toBe(200)
    expect(workers[0]!.seen.length).toBeLessThanOrEqual(1)
  })

  it('reach a worker again that has refused one without naming itself', async () => {
    const unnamed = answerWith('HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n')
    let count = 0
    const { harness } = await start([(...call) => (++count === 1 ? unnamed : good)(...call)], {
      kind: 'unsafe',
    })
    expect((await harness.send('/p/', { headers: { 'x-id': 'r0' } })).status).toBe(503)
    expect((await harness.send('/p/', { headers: { 'x-id': 'r1' } })).status).toBe(200)
  })

  it('are answered 504 when the time of the route is up, and stop the worker', async () => {
    const { harness, workers } = await start([() => undefined], { timeoutMs: 150 })
    expect((await harness.send('/p/')).status).toBe(504)
    await workers[0]!.seen[0]!.closed
  })

  it('stop the worker when the caller disconnects', async () => {
    const { harness, workers } = await start([() => undefined])
    const { request, answer } = harness.open('/p/')
    request.end()
    await workers[0]!.waitForSeen(1)
    request.destroy()
    await expect(answer).rejects.toThrow()
    await workers[0]!.seen[0]!.closed
  })
})

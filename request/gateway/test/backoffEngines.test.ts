// As backoffEndpoints.test.ts, for engines: a backoff may come with the rejection of a prompt, of a stream or of a resumed run, or
// after the placement was granted.
import { describe, expect, it } from 'vitest'
import { chunk, event, goodAnswer, type SeenRequest } from './fakeWorker'
import { reads, startRelay, streams } from './relayHarness'

const MODEL = { headers: { 'x-tokens': '10,10' }, body: 'x' }

/** Rejects a request and asks for backoff. */
const asksForBackoff = (request: SeenRequest) =>
  void request.socket.end('HTTP/1.1 503 No\r\nx-not-run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n')

/** Answers with a stream whose head announces that the engine leaves; `waiting` gets a function that ends it. */
const leaves = (waiting: (() => void)[]) => (request: SeenRequest) => {
  const rows = ['x-leaves: yes', 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
  request.socket.write(`${goodAnswer(request, '', rows)}${chunk(event(1))}`)
  waiting.push(() => void request.socket.end(`${chunk(event(2))}0\r\n\r\n`))
}

describe('engines that ask for backoff', () => {
  it('get no stream during the backoff', async () => {
    const { harness, seen } = await startRelay([
      ['decode', asksForBackoff],
      ['decode', streams],
    ])
    for (let sent = 0; sent < 4; sent += 1) expect((await harness.send('/p/', MODEL)).status).toBe(200)
    expect(seen()).toEqual([1, 4])
  })

  it('get no prompt during the backoff', async () => {
    const { harness, seen } = await startRelay([
      ['decode', streams],
      ['prefill', asksForBackoff],
      ['prefill', reads],
    ])
    for (let sent = 0; sent < 4; sent += 1) expect((await harness.send('/p/', MODEL)).status).toBe(200)
    expect(seen()).toEqual([4, 1, 4])
  })

  it('do not get a request that was placed there before they asked for backoff', async () => {
    const { harness, seen } = await startRelay([
      ['decode', streams],
      ['decode', streams],
    ])
    harness.onPlace = () =>
      harness.availability.recordRetryAfter('i-0', { type: 'rest', forMs: 30_000 }, 'another')
    expect((await harness.send('/p/', MODEL)).status).toBe(200)
    expect(seen()).toEqual([0, 1])
  })

  it('get nothing if all ask for backoff: callers are refused as not run, until one has recovered', async () => {
    const { harness, seen } = await startRelay([
      ['decode', asksForBackoff],
      ['decode', asksForBackoff],
    ])
    await harness.send('/p/', MODEL)
    const before = seen()
    const refused = await harness.send('/p/', MODEL)
    expect(seen()).toEqual(before)
    expect(refused.status).toBe(503)
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(25)
    expect(Number(refused.headers['retry-after'])).toBeLessThan(32)
  })
})

describe('engines that announce in their answers that they leave', () => {
  it('finish their streams and get no more requests', async () => {
    const waiting: (() => void)[] = []
    const { harness, seen } = await startRelay([
      ['decode', leaves(waiting)],
      ['decode', streams],
    ])
    const first = harness.open('/p/', { ...MODEL, method: 'POST' })
    first.request.end('x')
    await new Promise((resolve) => first.request.once('response', resolve))
    waiting.forEach((end) => end())
    expect(await first.answer).toMatchObject({ status: 200, isWhole: true, body: event(1) + event(2) })
    for (let sent = 0; sent < 3; sent += 1) expect((await harness.send('/p/', MODEL)).status).toBe(200)
    expect(seen()).toEqual([1, 3])
  })
})

import { describe, expect, it } from 'vitest'
import { FakeDialer } from './fakeDialer'
import { chunk, event, goodAnswer, type SeenRequest } from './fakeWorker'
import { answers, startRelay, streams } from './relayHarness'

const TOKENS = { 'x-tokens': '5,5' }
const closesConnection = (request: SeenRequest) => void request.socket.destroy()
const breaksOff = (request: SeenRequest) => {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  request.socket.write(chunk(event(1)), () => request.socket.destroy())
}

/** Sends one request; its answer may be cut off. */
async function send(harness: Awaited<ReturnType<typeof startRelay>>['harness'], id: string): Promise<void> {
  await harness
    .send('/p/a', { body: 'b', headers: { ...TOKENS, 'x-id': id } })
    .catch((error: Error) => expect(error.message).toMatch(/aborted|hang up/))
}

describe('an entry without a path to its endpoints', () => {
  it.each([
    ['plain', undefined, answers],
    ['stream', 'decode', streams],
  ] as const)(
    'refuses a %s request at once, ejects nobody and reports no loss',
    async (_name, stage, work) => {
      const { harness, seen } = await startRelay([[stage, work]])
      const dialer = new FakeDialer()
      harness.dialer = dialer
      dialer.failure = { type: 'no-path', reason: 'links are down' }
      const answer = await harness.send('/p/a', { body: 'b', headers: TOKENS })
      expect(answer.status).toBe(503)
      expect(answer.headers['retry-after']).toBeDefined()
      expect(harness.pool.ejectedCount).toBe(0)
      expect(harness.lost).toEqual([])
      expect(seen()).toEqual([0])
      dialer.failure = undefined
      expect((await harness.send('/p/a', { body: 'b', headers: TOKENS })).status).toBe(200)
    },
  )

  it.each([
    ['plain', undefined, closesConnection],
    ['stream', 'decode', breaksOff],
  ] as const)('does not blame an endpoint for a %s answer lost on the way', async (_name, stage, work) => {
    const { harness } = await startRelay([[stage, work]])
    const dialer = new FakeDialer()
    harness.dialer = dialer
    dialer.lostOnTheWay = true
    for (const id of ['r1', 'r2', 'r3']) await send(harness, id)
    expect(harness.pool.ejectedCount).toBe(0)
    expect(harness.lost).toEqual([])
    dialer.lostOnTheWay = false
    for (const id of ['r4', 'r5', 'r6']) await send(harness, id)
    expect(harness.pool.ejectedCount).toBe(1)
    expect(harness.lost).not.toEqual([])
  })
})

describe('a request on a connection that hangs when the path is lost', () => {
  /** Answers all requests but the first. */
  const hangsOnce = (request: SeenRequest) => {
    if (hung === 0) hung += 1
    else answers(request)
  }
  let hung = 0

  it('is sent again if its route allows it, and only then', async () => {
    for (const { kind, arrivals } of [
      { kind: 'safe', arrivals: 2 },
      { kind: 'unsafe', arrivals: 1 },
    ] as const) {
      hung = 0
      const route = { kind, attempts: 2, targetMs: 50, timeoutMs: 600 }
      const { harness, seen } = await startRelay([[undefined, hangsOnce]], route)
      const dialer = new FakeDialer()
      harness.dialer = dialer
      const answer = harness.send('/p/a', { body: 'b' })
      while (seen()[0] === 0) await new Promise((resolve) => setImmediate(resolve))
      dialer.loseEndpoint(harness.pool.get('i-0')!.endpoint.address)
      expect((await answer).status).toBe(kind === 'safe' ? 200 : 504)
      expect(seen()).toEqual([arrivals])
      expect(harness.pool.ejectedCount).toBe(0)
      expect(dialer.listenerCount).toBe(0)
    }
  })
})

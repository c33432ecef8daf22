import { afterEach, describe, expect, it } from 'vitest'
import { carryAll, type Carrier } from './carrier'
import { event, goodAnswer, type SeenRequest } from './fakeWorker'
import { startRelay } from './relayHarness'

/* Guards against an answer without a length that looks whole after the box that carried it has ended. */

const UNFRAMED = ['Content-Type: text/event-stream', 'Connection: close']
const HEADERS = { 'x-tokens': '5,5' }

const carriers: Carrier[] = []
afterEach(() => carriers.splice(0).forEach((one) => one.stop()))

/** Sends the first event, and the rest once the box that carries it has ended, or has been left alone. */
const streamsInTwoParts = (carrier: Carrier, ends: boolean) => (request: SeenRequest) => {
  const first = goodAnswer(request, event(1), UNFRAMED)
  request.socket.write(first)
  if (ends) void carrier.endAfter(first.length)
  else request.socket.end(event(2))
}

async function startCarried(
  endpoints: ((carrier: Carrier) => ['decode' | undefined, (request: SeenRequest) => void])[],
  route: Parameters<typeof startRelay>[1] = {},
) {
  const carrier = await carryAll()
  carriers.push(carrier)
  const { harness } = await startRelay(
    endpoints.map((one) => one(carrier)),
    route,
  )
  harness.dialer = carrier
  return harness
}

describe('an answer without a length that another box carries', () => {
  it.each([['decode'], [undefined]] as const)('is whole if its endpoint has ended it (%s)', async (stage) => {
    const harness = await startCarried([(carrier) => [stage, streamsInTwoParts(carrier, false)]])
    const answer = await harness.send('/p/a', { headers: HEADERS })
    expect(answer).toMatchObject({ status: 200, body: event(1) + event(2), isWhole: true })
  })

  it('is a failure of a plain endpoint if that box ends', async () => {
    const harness = await startCarried([(carrier) => [undefined, streamsInTwoParts(carrier, true)]])
    expect(await harness.send('/p/a')).toMatchObject({ status: 502 })
    expect(harness.pool.ejectedCount).toBe(0)
  })

  it('is cut if that box ends and the stream may not be resumed', async () => {
    const harness = await startCarried([(carrier) => ['decode', streamsInTwoParts(carrier, true)]])
    await expect(harness.send('/p/a', { headers: HEADERS })).rejects.toThrow(/aborted|hang up|ECONNRESET/)
  })

  it('goes on at another engine if that box ends and the stream may be resumed', async () => {
    const resumedAfter: (string | undefined)[] = []
    const engine = (carrier: Carrier) => {
      const answers = (request: SeenRequest) => {
        resumedAfter.push(request.headers['last-event-id'])
        if (resumedAfter.length === 1) return streamsInTwoParts(carrier, true)(request)
        request.socket.end(goodAnswer(request, event(2), UNFRAMED))
      }
      return ['decode', answers] as ['decode', typeof answers]
    }
    const harness = await startCarried([engine, engine], { resumable: true, attempts: 2 })
    const answer = await harness.send('/p/a', { headers: HEADERS })
    expect(answer).toMatchObject({ status: 200, body: event(1) + event(2), isWhole: true })
    expect(resumedAfter).toEqual([undefined, '1'])
  })
})

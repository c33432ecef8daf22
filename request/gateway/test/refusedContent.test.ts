import { describe, expect, it } from 'vitest'
import { contentDigest } from '@forkstage/crashes'
import type { SeenRequest } from './fakeWorker'
import type { GatewayHarness } from './gatewayHarness'
import { answers, startRelay, streams } from './relayHarness'

const BODY = 'ends engines'

function digest(method = 'POST', body = BODY) {
  return contentDigest({ method, host: 'h.example', path: '/p/a', body: Buffer.from(body) })
}

const send = (harness: GatewayHarness, body = BODY) =>
  harness.send('/p/a', { body, headers: { 'x-tokens': '5,5', 'x-id': body } })

describe('a request with refused content', () => {
  it.each([
    ['plain', undefined, answers],
    ['streaming', 'decode', streams],
  ] as const)(
    '%s reaches no endpoint and is refused at once with a retry delay, while others are served',
    async (_kind, stage, behaviour) => {
      const { harness, seen } = await startRelay([[stage, behaviour]])
      harness.refused.add(digest())
      const answer = await send(harness)
      expect(answer.status).toBe(503)
      expect(answer.body).toContain('ends its endpoints')
      expect(Number(answer.headers['retry-after'])).toBe(60)
      expect(seen()).toEqual([0])
      expect((await send(harness, 'another')).status).toBe(200)
    },
  )

  it('is not sent again by the request whose sending made it refused, which is not reported as not run', async () => {
    const closesConnection = (request: SeenRequest) => {
      relay.harness.refused.add(digest())
      request.socket.destroy()
    }
    const relay = await startRelay(
      [
        [undefined, closesConnection],
        [undefined, closesConnection],
      ],
      { kind: 'safe', attempts: 2 },
    )
    const answer = await send(relay.harness)
    expect(answer.status).toBe(502)
    expect(relay.seen().reduce((sum, count) => sum + count)).toBe(1)
  })
})

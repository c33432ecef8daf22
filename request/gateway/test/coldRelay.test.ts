import { describe, expect, it } from 'vitest'
import { COLD_PER_SECOND, type GatewayHarness } from './gatewayHarness'
import type { ReceivedAnswer } from './receivedAnswer'
import { answers, reads, startRelay, streams } from './relayHarness'

/** Sends `count` requests at once, each with an id of its own. */
function sendMany(harness: GatewayHarness, count: number): Promise<ReceivedAnswer[]> {
  const sends = Array.from({ length: count }, (_, index) =>
    harness.send('/p/', { body: 'x', headers: { 'x-id': `r${index}` } }),
  )
  return Promise.all(sends)
}

describe('an entry with cold endpoints', () => {
  it('sends plain requests to warm endpoints, although cold ones have less load', async () => {
    const { harness, seen } = await startRelay([
      [undefined, answers],
      [undefined, answers],
    ])
    harness.cold.set('i-0', 3_000)
    for (let times = 0; times < 6; times += 1)
      expect((await harness.send('/p/', { body: 'x' })).status).toBe(200)
    expect(seen()).toEqual([0, 6])
  })

  it('stays within the limit of cold endpoints where there are no others, and refuses the rest as not run with a backoff', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    harness.cold.set('i-0', 3_000)
    const all = await sendMany(harness, COLD_PER_SECOND * 2)
    const refused = all.filter(({ status }) => status === 503)
    expect(refused.length).toBe(all.length - seen()[0]!)
    expect(seen()[0]).toBeGreaterThan(COLD_PER_SECOND / 2)
    expect(seen()[0]).toBeLessThanOrEqual(COLD_PER_SECOND)
    for (const { headers, body } of refused) {
      expect(headers['retry-after']).toBeDefined()
      expect(body).toContain('cold endpoints get no more now')
    }
  })

  it('counts the prefill and the decode step, each when it is sent', async () => {
    const { harness, seen } = await startRelay([
      ['prefill', reads],
      ['decode', streams],
    ])
    harness.cold.set('i-0', 3_000)
    harness.cold.set('i-1', 3_000)
    await sendMany(harness, COLD_PER_SECOND)
    for (const count of seen()) {
      expect(count).toBeGreaterThan(0)
      // The leader did not place them: a tenth of what all entries may send.
      expect(count).toBeLessThanOrEqual(COLD_PER_SECOND / 10)
    }
  })
})

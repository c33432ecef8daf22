import { describe, expect, it } from 'vitest'
import { FakeDialer } from './fakeDialer'
import { COLD_PER_SECOND, type GatewayHarness } from './gatewayHarness'
import { answers, reads, startRelay, streams } from './relayHarness'

/* Guards against sendings that are withheld at their open connections and still count against the limits of the endpoint. */

const HEADERS = { 'x-tokens': '5,5' }

/** Sends a request that is withheld once its connection to an endpoint is open. */
async function sendWithheld(harness: GatewayHarness, id: string): Promise<void> {
  const { address } = harness.pool.get(id)!.endpoint
  const dialer = new FakeDialer()
  dialer.onConnected = (endpoint) => {
    if (endpoint === address) harness.withheld.set(id, 'kept free')
  }
  harness.dialer = dialer
  await harness.send('/p/', { headers: HEADERS })
  harness.dialer = undefined
  expect(harness.withheld.delete(id)).toBe(true)
}

describe('a withheld sending', () => {
  it('uses up nothing of the share of a cold endpoint', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    harness.cold.set('i-0', 3_000)
    for (let count = 0; count < COLD_PER_SECOND; count += 1) await sendWithheld(harness, 'i-0')
    expect(seen()).toEqual([0])
    expect(await harness.send('/p/')).toMatchObject({ status: 200 })
  })

  it('uses up nothing of the share of a cold engine', async () => {
    const { harness, seen } = await startRelay([
      ['prefill', reads],
      ['decode', streams],
    ])
    harness.cold.set('i-0', 3_000)
    for (let count = 0; count < COLD_PER_SECOND / 10; count += 1) await sendWithheld(harness, 'i-0')
    expect(seen()[0]).toBe(0)
    expect(await harness.send('/p/', { headers: HEADERS })).toMatchObject({ status: 200 })
    expect(seen()[0]).toBe(1)
  })

  it('is no probe of an endpoint whose backoff is over', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    const { availability } = harness
    availability.recordRetryAfter('i-0', { type: 'rest', forMs: 1 }, 'r')
    while (availability.unavailability('i-0') !== undefined)
      await new Promise((resolve) => setImmediate(resolve))
    await sendWithheld(harness, 'i-0')
    expect(availability.unavailability('i-0')).toBeUndefined()
    expect(seen()).toEqual([0])
  })
})

import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { ColdEndpointLimiter } from '../src'
import { reads, startRelay, streams } from './relayHarness'

const SENT = { body: 'b', headers: { 'x-tokens': '5,5' } }

describe('an entry after its box was suspended', () => {
  it('releases an earlier placement and requests another', async () => {
    const { harness, seen } = await startRelay([['decode', streams]])
    harness.onPlace = () => {
      // Suspended between the placement and the sending; the second placement is granted afterwards.
      if (harness.places.length === 1) harness.suspendedAt = performance.now()
    }
    expect((await harness.send('/p/a', SENT)).status).toBe(200)
    expect(harness.places).toHaveLength(2)
    expect(seen()).toEqual([1])
    expect(harness.pool.get('i-0')!.inFlight).toBe(0)
  })

  it('does not use an earlier KV cache: the prompt is prefilled again, and the decode engine gets it once', async () => {
    let isFirst = true
    const suspendsWhileReading = (request: Parameters<typeof reads>[0]) => {
      if (isFirst) relay.harness.suspendedAt = performance.now()
      isFirst = false
      reads(request)
    }
    const relay = await startRelay([
      ['prefill', suspendsWhileReading],
      ['decode', streams],
    ])
    expect((await relay.harness.send('/p/a', SENT)).status).toBe(200)
    expect(relay.seen()[1]).toBe(1)
    // One more prefill step, and the release of the first handle.
    expect(relay.seen()[0]).toBeGreaterThanOrEqual(2)
  })

  it('uses no earlier grant for a cold endpoint', () => {
    const clock = new ManualClock()
    const limiter = new ColdEndpointLimiter({
      clock,
      random: () => 0.999,
      leftMs: () => 3_000,
      hasReportedCold: () => true,
      perSecond: () => 1,
      entries: () => 100,
    })
    clock.advance(60_000)
    const grant = { type: 'placed' as const, decode: 'i-1', cold: { waitedMs: 0, decodeMs: 500 } }
    const endpoint = { ...ENDPOINT, id: 'i-1' }
    limiter.addGrants('r1', grant, clock.now())
    expect(limiter.checkAndCount(endpoint, 'r1', 'decode')).toBeUndefined()
    limiter.addGrants('r2', grant, clock.now())
    clock.suspend()
    expect(limiter.checkAndCount(endpoint, 'r2', 'decode')).toBeDefined()
  })
})

const ENDPOINT = {
  service: 'model',
  address: '127.0.0.1:1',
  zone: 'z',
  slots: 4,
  state: 'ready' as const,
  stage: 'decode' as const,
  models: [],
  sequence: 1,
}

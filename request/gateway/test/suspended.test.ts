import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { ColdEndpointLimiter } from '../src'
import { reads, startRelay, streams } from './relayHarness'

const SENT = { body: 'b', headers: { 'x-tokens': '5,5' } }

describe('an entry that was suspended', () => {
  it('uses no place from before: it gives it back and asks for another', async () => {
    const { world, seen } = await startRelay([['decode', streams]])
    world.onPlace = () => {
      // Between the place and the sending; the second place is given after it.
      if (world.places.length === 1) world.suspendedAt = performance.now()
    }
    expect((await world.send('/p/a', SENT)).status).toBe(200)
    expect(world.places).toHaveLength(2)
    expect(seen()).toEqual([1])
    expect(world.pool.get('i-0')!.inFlight).toBe(0)
  })

  it('uses no prompt from before it either: the prompt is read anew, and the decode engine is sent it once', async () => {
    let isFirst = true
    const suspendsWhileReading = (request: Parameters<typeof reads>[0]) => {
      if (isFirst) relay.world.suspendedAt = performance.now()
      isFirst = false
      reads(request)
    }
    const relay = await startRelay([
      ['prefill', suspendsWhileReading],
      ['decode', streams],
    ])
    expect((await relay.world.send('/p/a', SENT)).status).toBe(200)
    expect(relay.seen()[1]).toBe(1)
    // One reading more, and the handle of the first is freed.
    expect(relay.seen()[0]).toBeGreaterThanOrEqual(2)
  })

  it('uses no grant for a cold endpoint from before', () => {
    const clock = new ManualClock()
    const gate = new ColdEndpointLimiter({
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
    gate.addGrants('r1', grant, clock.now())
    expect(gate.checkAndCount(endpoint, 'r1', 'decode')).toBeUndefined()
    gate.addGrants('r2', grant, clock.now())
    clock.suspend()
    expect(gate.checkAndCount(endpoint, 'r2', 'decode')).toBeDefined()
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

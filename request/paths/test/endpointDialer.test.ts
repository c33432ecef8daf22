import { describe, expect, it } from 'vitest'
import { recordRejections } from '../../../core/clock/test/recordRejections'
import { DialerHarness, type Response } from './dialerHarness'

/** Returns a harness whose own links are down in one way. */
function cutHarness(response: Response): DialerHarness {
  const harness = new DialerHarness()
  harness.direct = () => response
  return harness
}

describe('a box whose links work', () => {
  it('connects directly and asks no other box', async () => {
    const harness = new DialerHarness()
    for (const endpoint of harness.endpoints)
      expect(await harness.dial(endpoint)).toMatchObject({ type: 'connected' })
    await harness.advance(2_000)
    expect(harness.asked).toEqual([])
    expect(harness.directAttempts).toEqual(harness.endpoints)
  })

  it('believes that an endpoint refuses connections once another box has found the same', async () => {
    const harness = new DialerHarness()
    harness.direct = (endpoint) => (endpoint === 'a:1' ? 'refuses' : 'connects')
    harness.through = () => 'refuses'
    expect(await harness.dial()).toMatchObject({ type: 'refused' })
    expect(harness.asked).toHaveLength(1)
    expect(harness.events).toEqual([])
  })

  // Guards against a silent endpoint that is taken for a partition.
  it('takes one silent endpoint for silent, whoever asks', async () => {
    const harness = new DialerHarness()
    harness.direct = (endpoint) => (endpoint === 'a:1' ? 'hangs' : 'connects')
    harness.through = () => 'hangs'
    expect(await harness.dial()).toMatchObject({ type: 'silent' })
    expect(harness.dialer.paths.hasPath).toBe(true)
    expect(await harness.dial('b:1')).not.toHaveProperty('via')
  })

  it('asks about a slow endpoint for one request at a time', async () => {
    const harness = new DialerHarness()
    harness.direct = () => 'hangs'
    harness.through = () => 'hangs'
    const dials = Array.from({ length: 6 }, () => harness.dialer.dial('a:1', 400).result)
    await harness.advance(180)
    expect(harness.asked).toHaveLength(1)
    await harness.advance(1_000)
    expect((await Promise.all(dials)).every(({ type }) => type !== 'connected')).toBe(true)
  })
})

describe('a box whose links are down', () => {
  it.each<Response>(['refuses', 'hangs'])(
    'connects through another box (its connections: %s)',
    async (response) => {
      const harness = cutHarness(response)
      const first = await harness.dial()
      expect(first).toMatchObject({ type: 'connected', via: harness.asked[0] })
      expect(first.tookMs).toBeLessThan(200)
      harness.directAttempts.length = 0
      const next = await harness.dial()
      expect(next).toMatchObject({ type: 'connected', via: harness.asked[1] })
      expect(next.tookMs).toBeLessThan(5)
      expect(harness.directAttempts).toEqual([])
      expect(harness.open).toBe(2)
    },
  )

  it('asks other boxes first for endpoints that it has not tried, once it has lost two', async () => {
    const harness = cutHarness('hangs')
    await harness.dial('a:1')
    await harness.dial('b:1')
    harness.directAttempts.length = 0
    expect(await harness.dial('c:1')).toMatchObject({ type: 'connected', via: expect.any(String) as string })
    expect(harness.directAttempts).toEqual([])
  })

  it('goes on to the next box where one is cut off as well, does not answer, or is stopping', async () => {
    const harness = cutHarness('refuses')
    const responses: Record<string, Response> = {
      'n1:1': 'unavailable',
      'n2:1': 'hangs',
      'n3:1': 'unavailable',
    }
    harness.through = (box) => responses[box] ?? 'connects'
    for (let count = 0; count < 20; count += 1) {
      const result = await harness.dial(harness.endpoints[count % 4])
      expect(result).toMatchObject({ type: 'connected' })
      expect(result.tookMs).toBeLessThan(60)
    }
  })

  it('spreads its connections over the boxes that carry them', async () => {
    const harness = cutHarness('refuses')
    for (let count = 0; count < 50; count += 1) await harness.dial()
    const counts = harness.neighbours.map((box) => harness.asked.filter((one) => one === box).length)
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1)
  })

  // Guards against callers that wait for a path that is known to be missing.
  it('fails at once while no other box reaches an endpoint either, and finds the first path that is back', async () => {
    const harness = cutHarness('hangs')
    harness.through = () => 'unavailable'
    expect(await harness.dial()).toMatchObject({ type: 'no-path' })
    expect(harness.dialer.paths.hasPath).toBe(false)
    expect(await harness.dial('b:1')).toMatchObject({ type: 'no-path', tookMs: 0 })
    harness.direct = () => 'connects'
    await harness.advance(1_000)
    expect(harness.dialer.paths.hasPath).toBe(true)
    expect(await harness.dial()).not.toHaveProperty('via')
  })

  it('is back on its own links within a second after they work, without a burst, and stops trying', async () => {
    const harness = cutHarness('hangs')
    for (const endpoint of harness.endpoints) await harness.dial(endpoint)
    await harness.advance(3_000)
    harness.directAttempts.length = 0
    await harness.advance(1_000)
    expect(harness.directAttempts.length).toBeLessThanOrEqual(16)
    harness.direct = () => 'connects'
    harness.directAttempts.length = 0
    await harness.advance(1_000)
    expect(harness.dialer.paths.indirectCount).toBe(0)
    expect(harness.directAttempts.length).toBeLessThanOrEqual(8)
    harness.directAttempts.length = 0
    await harness.advance(5_000)
    expect(harness.directAttempts).toEqual([])
  })

  // Guards against one dead endpoint that takes the path to all others away.
  it('still reaches the other endpoints while one of them is dead', async () => {
    const harness = cutHarness('hangs')
    harness.through = (_box, endpoint) => (endpoint === 'a:1' ? 'hangs' : 'connects')
    for (let round = 0; round < 3; round += 1) {
      expect(await harness.dial('a:1')).toMatchObject({ type: 'silent' })
      for (const endpoint of ['b:1', 'c:1', 'd:1'])
        expect(await harness.dial(endpoint)).toMatchObject({ type: 'connected' })
    }
    expect(harness.dialer.paths.hasPath).toBe(true)
  })

  // Guards against a box that gives up since a few endpoints that it tried are dead.
  it('is not without a path while some endpoints are dead and other boxes say nothing', async () => {
    const harness = new DialerHarness()
    for (const endpoint of harness.endpoints) await harness.dial(endpoint)
    harness.direct = (endpoint) => (endpoint === 'd:1' ? 'connects' : 'refuses')
    harness.through = () => 'unavailable'
    expect(await harness.dial('a:1')).toMatchObject({ type: 'refused' })
    expect(await harness.dial('d:1')).toMatchObject({ type: 'connected' })
    expect(harness.events).toEqual([])
  })

  // Guards against one endpoint that the only box with links lacks, and that takes the path to all others away.
  it('still reaches the other endpoints if another box lacks one of them', async () => {
    const harness = cutHarness('refuses')
    harness.through = (box, endpoint) => {
      if (box !== 'n3:1') return 'unavailable'
      return endpoint === 'a:1' ? 'lacks' : 'connects'
    }
    for (let round = 0; round < 3; round += 1) {
      expect(await harness.dial('a:1')).toMatchObject({ type: 'no-path' })
      for (const endpoint of ['b:1', 'c:1', 'd:1'])
        expect(await harness.dial(endpoint)).toMatchObject({ type: 'connected', via: 'n3:1' })
    }
    expect(harness.dialer.paths.hasPath).toBe(true)
  })

  it('tries an endpoint that it reached through others for another box, and forgets one that is dead', async () => {
    const harness = cutHarness('refuses')
    await harness.dial('a:1')
    harness.direct = () => 'connects'
    const answer = harness.dialer.dialForPeer('a:1', 200)
    await harness.advance(20)
    expect(await answer).toMatchObject({ type: 'connected' })
    harness.direct = () => 'refuses'
    await harness.dial('b:1')
    harness.through = () => 'refuses'
    expect(await harness.dial('b:1')).toMatchObject({ type: 'refused' })
    expect(harness.dialer.paths.isIndirect('b:1')).toBe(false)
  })

  it('asks a box again that refused, once no other one is left', async () => {
    const harness = cutHarness('refuses')
    harness.neighbours = ['n1:1']
    let refusals = 1
    harness.through = () => (refusals-- > 0 ? 'unavailable' : 'connects')
    expect(await harness.dial('a:1')).toMatchObject({ type: 'no-path' })
    await harness.advance(300)
    expect(await harness.dial('b:1')).toMatchObject({ type: 'connected', via: 'n1:1' })
  })

  // Guards against a wait at the start of each partition of a series.
  it('stays with other boxes while its links come and go, and is back within a second after that', async () => {
    const harness = new DialerHarness()
    for (const endpoint of harness.endpoints) await harness.dial(endpoint)
    const times: number[] = []
    for (let round = 0; round < 6; round += 1) {
      for (const [response, forMs] of [
        ['hangs', 700],
        ['connects', 300],
      ] as const) {
        harness.direct = () => response
        for (let passed = 0; passed < forMs; passed += 50) {
          times.push((await harness.dial(harness.endpoints[passed % 4])).tookMs)
          await harness.advance(50)
        }
      }
    }
    // Only the first partitions are noticed by waiting.
    expect(times.filter((tookMs) => tookMs > 10).length).toBeLessThanOrEqual(8)
    await harness.advance(1_000)
    expect(harness.dialer.paths.indirectCount).toBe(0)
  })

  it('keeps other endpoints on its own links if it has lost only some', async () => {
    const harness = new DialerHarness()
    harness.direct = (endpoint) => (endpoint < 'c' ? 'refuses' : 'connects')
    for (const endpoint of harness.endpoints) await harness.dial(endpoint)
    await harness.advance(1_000)
    expect(harness.dialer.paths.indirectEndpoints()).toEqual(['a:1', 'b:1'])
    expect(await harness.dial('c:1')).not.toHaveProperty('via')
    expect(await harness.dial('a:1')).toMatchObject({ type: 'connected', via: expect.any(String) as string })
  })

  it('closes a connection that opens after the attempt was given up', async () => {
    const harness = cutHarness('hangs')
    const dial = harness.dialer.dial('a:1', 400)
    await harness.advance(150)
    dial.cancel()
    await harness.advance(500)
    expect(await dial.result).toMatchObject({ type: 'silent' })
    expect(harness.open).toBe(0)
  })
})

describe('what a box tells of an endpoint', () => {
  // Guards against two boxes without links that confirm each other's wrong belief in a crash.
  it('says nothing to another box while its own links are down', async () => {
    const harness = new DialerHarness()
    await harness.dial('b:1')
    harness.direct = () => 'refuses'
    const answer = harness.dialer.dialForPeer('a:1', 250)
    await harness.advance(500)
    expect(await answer).toMatchObject({ type: 'unavailable' })
  })

  it('tells another box that an endpoint refuses connections if it reaches others', async () => {
    const harness = new DialerHarness()
    harness.direct = (endpoint) => (endpoint === 'a:1' ? 'refuses' : 'connects')
    const answer = harness.dialer.dialForPeer('a:1', 250)
    await harness.advance(500)
    expect(await answer).toMatchObject({ type: 'refused' })
  })

  // Guards against an engine that the leader takes out because an entry lost its own links.
  it('does not blame an endpoint for an answer that broke off with the links', async () => {
    const harness = cutHarness('refuses')
    const lost = harness.dialer.isPathLoss('a:1')
    await harness.advance(300)
    expect(await lost).toBe(true)
    expect(harness.open).toBe(0)
  })

  it('blames an endpoint that breaks answers off while its links work, or that has crashed', async () => {
    const harness = new DialerHarness()
    const broken = harness.dialer.isPathLoss('a:1')
    await harness.advance(300)
    expect(await broken).toBe(false)
    harness.direct = (endpoint) => (endpoint === 'a:1' ? 'refuses' : 'connects')
    harness.through = () => 'refuses'
    const crashed = harness.dialer.isPathLoss('a:1')
    await harness.advance(300)
    expect(await crashed).toBe(false)
    expect(harness.open).toBe(0)
  })
})

describe('a box that delays its connects by itself', () => {
  // Guards against a full link that is taken for the failure of endpoints, and filled further by asking other boxes.
  it('asks no other box about a connect that is late for its own delay, and blames no endpoint', async () => {
    const harness = new DialerHarness()
    harness.ownDelayMs = 300
    harness.direct = () => 'hangs'
    harness.through = () => 'hangs'
    expect(await harness.dial()).toMatchObject({ type: 'no-path', reason: 'this box is delayed' })
    expect(harness.asked).toEqual([])
    expect(harness.dialer.paths.hasPath).toBe(true)
  })

  it('reports how long connects took, or went without an answer', async () => {
    const harness = new DialerHarness()
    harness.neighbours = []
    await harness.dial()
    harness.direct = () => 'hangs'
    await harness.dial('b:1', 400)
    expect(harness.connected).toHaveLength(1)
    expect(harness.unanswered).toEqual([400])
  })
})

// Guards against endpoints that are reached through other boxes for good, after one unexpected error.
it('goes on trying endpoints that only others reach after an unexpected error', async () => {
  const failure = new Error('unexpected')
  const harness = cutHarness('refuses')
  await harness.dial('a:1')
  await harness.dial('b:1')
  expect(harness.dialer.paths.indirectCount).toBeGreaterThan(0)
  harness.direct = () => {
    throw failure
  }
  const rejections = await recordRejections(() => harness.advance(300))
  expect(rejections).toEqual([failure])
  harness.direct = () => 'connects'
  await harness.advance(2_000)
  expect(harness.dialer.paths.indirectCount).toBe(0)
})

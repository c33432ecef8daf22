// Story. Users saw a plain endpoint of three that turned entries away with 503 and `Retry-After: 3`, and got up to 17 requests from one
// entry within those three seconds. Order: 30 requests a second at eight entries, ten to each endpoint; one begins to turn all
// away, within 2 ms each, and asks each entry for 3 s of rest; it gets 12, then 22 to 39 requests a second until it is well; some
// of its callers are refused though both others are free, since their repeated sendings are used up. Cause: no entry read the word,
// and an endpoint that turns away at once looks idle and quick. Evidence: 114 of 115 sendings that it turned away were first ones, by
// all eight entries, through five seconds; no source read the name.
import { afterEach, describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { BackoffHarness } from './backoffHarness'

const open: BackoffHarness[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((world) => world.stop()))))

async function start(entries: number, workers?: number): Promise<BackoffHarness> {
  const world = await BackoffHarness.start(entries, workers)
  open.push(world)
  return world
}

/** More than two requests in one rest break the word. */
const MAX_IN_BACKOFF = 2

describe('endpoints that ask for rest', () => {
  it('get two more requests at most from each entry in that time, and its callers are served elsewhere', async () => {
    const world = await start(8)
    await world.runLoad(30, 3_000)
    const since = world.clock.now()
    world.startRejecting(2, 9_000, () => '3')
    await world.runLoad(30, 9_000)
    await world.drain()
    expect(world.workers[2]!.maxInBackoff()).toBeLessThanOrEqual(MAX_IN_BACKOFF)
    expect(world.servedInTime(since)).toBeGreaterThan(0.97)
  })

  it('turn away no more than a request of each entry and rest, beside those that were on their way', async () => {
    const world = await start(8)
    await world.runLoad(30, 3_000)
    world.startRejecting(2, 9_000, () => '3')
    const from = world.clock.now()
    await world.runLoad(30, 9_000)
    // Eight entries, three rests each.
    expect(world.workers[2]!.rateWithin(from, world.clock.now()) * 9).toBeLessThanOrEqual(8 * 4)
  })

  it('get as much as before within 2 s of being well', async () => {
    const world = await start(8)
    await world.runLoad(30, 5_000)
    const before = world.workers[2]!.rateWithin(world.clock.now() - 4_000, world.clock.now())
    world.startRejecting(2, 6_000, (leftMs) => String(Math.max(0.1, leftMs / 1_000)))
    await world.runLoad(30, 8_000)
    const from = world.clock.now()
    await world.runLoad(30, 6_000)
    expect(world.workers[2]!.rateWithin(from, world.clock.now())).toBeGreaterThan(before * 0.7)
  })

  it('are beyond reach where all rest: callers hear at once that nothing ran, and to come back when one is well', async () => {
    const world = await start(4, 2)
    await world.runLoad(20, 1_000)
    world.startRejecting(0, 4_000, (leftMs) => String(leftMs / 1_000))
    world.startRejecting(1, 6_000, (leftMs) => String(leftMs / 1_000))
    const wellAt = world.clock.now() + 4_000
    await world.runLoad(20, 1_000)
    const since = world.clock.now()
    const before = world.workers.map(({ arrivals }) => arrivals.length)
    await world.runLoad(20, 2_000)
    await world.drain()
    expect(world.workers.map(({ arrivals }) => arrivals.length)).toEqual(before)
    const refused = world.outcomes.filter(({ sentAt }) => sentAt >= since)
    expect(refused.length).toBeGreaterThan(30)
    for (const { status, tookMs, retryAfter, sentAt } of refused) {
      expect(status).toBe(503)
      expect(tookMs).toBeLessThanOrEqual(50)
      expect(sentAt + retryAfter! * 1_000).toBeGreaterThanOrEqual(wellAt)
      expect(sentAt + retryAfter! * 1_000).toBeLessThan(wellAt + 2_000)
    }
  })

  it.each([1, 2, 3, 4, 5, 6])('get no more than that, whatever they say when (seed %i)', async (seed) => {
    const world = await start(12, 4)
    const random = createSeededRandom(seed)
    const words = [
      () => '3',
      () => '0.2',
      () => '0',
      () => String(random() * 8),
      () => 'soon',
      () => '-2',
      () => undefined,
    ]
    for (let second = 0; second < 20; second += 1) {
      const word = words[Math.floor(random() * words.length)]!
      if (random() < 0.5) world.startRejecting(Math.floor(random() * 4), random() * 6_000, word)
      await world.runLoad(60, 1_000)
    }
    expect(world.workers.map((one) => Math.max(0, one.maxInBackoff() - MAX_IN_BACKOFF))).toEqual([0, 0, 0, 0])
  })
})

describe('endpoints that say in their answers that they leave', () => {
  it('get nothing more from the entries that they told, whose callers are served elsewhere', async () => {
    const world = await start(8)
    await world.runLoad(30, 3_000)
    world.workers[1]!.leaves = true
    const since = world.clock.now()
    await world.runLoad(30, 6_000)
    await world.drain()
    expect(world.workers[1]!.toldLeaving.size).toBe(8)
    expect(world.workers[1]!.afterLeaving()).toBe(0)
    expect(world.servedInTime(since)).toBeGreaterThan(0.99)
  })
})

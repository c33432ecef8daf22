// Story. Users saw two of three plain endpoints that named the requests a second that they take from all machines together (3.3
// and 3.6), and got 43 and 46 in 4 s, where 25 and 27 were allowed. Order: 30 requests a second at eight entries, about a third
// to each endpoint; two endpoints name their rates in every answer; what they get stays as it was. Cause: no entry read the
// name, and nothing divided a rate between entries. Evidence: arrivals by endpoint before and after (10.9 and 10.5, then 11.8
// and 12.6 a second), sendings to them from all eight entries, 10 of 83 of them repeated ones, and no such name in the sources.
import { afterEach, describe, expect, it } from 'vitest'
import { LimitWorld } from './limitWorld'

const open: LimitWorld[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((world) => world.stop()))))

async function start(entries: number, workers?: number): Promise<LimitWorld> {
  const world = await LimitWorld.start(entries, workers)
  open.push(world)
  return world
}

describe('endpoints that name the rate that they take from all machines', () => {
  it('get no more than that allows from eight entries, whose callers are served elsewhere', async () => {
    const world = await start(8)
    await world.play(30, 3_000)
    world.name(0, 3.3)
    world.name(1, 3.6)
    const since = world.clock.now()
    await world.play(30, 12_000)
    await world.drain()
    expect(world.workers[0]!.worstExcess(3.3)).toBeLessThanOrEqual(0)
    expect(world.workers[1]!.worstExcess(3.6)).toBeLessThanOrEqual(0)
    expect(world.servedInTime(since)).toBeGreaterThan(0.99)
  })
})

// An endpoint accepts a number of connections from all callers together and resets further ones; a request that may run
// only once has failed then. Guards against entries that each keep to their own limit only, so that together they
// exceed the endpoint's.
import { afterEach, describe, expect, it } from 'vitest'
import { LimitHarness } from './limitHarness'

const open: LimitHarness[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((harness) => harness.stop()))))

describe('connections to an endpoint from all entries', () => {
  it.each([
    [8, 16],
    [8, 30],
    [3, 3],
  ])('from %i entries are no more than %i in a burst', async (entries, most) => {
    const harness = await LimitHarness.start(entries, 1)
    open.push(harness)
    harness.maxConnections = most
    await harness.runLoad(2_000, 500)
    await harness.drain()
    expect(harness.maxHeld).toBeLessThanOrEqual(most)
    expect(harness.maxHeld).toBeGreaterThan(most / 2)
  })

  it('include one for each entry where entries outnumber the limit, since an entry could not serve otherwise', async () => {
    const harness = await LimitHarness.start(8, 1)
    open.push(harness)
    harness.maxConnections = 4
    await harness.runLoad(20, 2_000)
    await harness.drain()
    expect(harness.servedInTime()).toBeGreaterThan(0.9)
  })
})

// Story. A sheet names the connections that an endpoint takes from all callers together; more are reset, and what may run once and
// is reset has failed. No entry looked at it: each kept to what it had found to go well by itself. Found by looking for
// statements that hold over all machines and that nobody keeps, after endpoints that named a rate got several times as much.
import { afterEach, describe, expect, it } from 'vitest'
import { LimitHarness } from './limitHarness'

const open: LimitHarness[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((harness) => harness.stop()))))

describe('connections that an endpoint takes from all entries', () => {
  it.each([
    [8, 16],
    [8, 30],
    [3, 3],
  ])('are no more from %i entries than %i, in a burst', async (entries, most) => {
    const harness = await LimitHarness.start(entries, 1)
    open.push(harness)
    harness.maxConnections = most
    await harness.runLoad(2_000, 500)
    await harness.drain()
    expect(harness.maxHeld).toBeLessThanOrEqual(most)
    expect(harness.maxHeld).toBeGreaterThan(most / 2)
  })

  it('leave each entry one where there are fewer than entries: it could serve nobody otherwise', async () => {
    const harness = await LimitHarness.start(8, 1)
    open.push(harness)
    harness.maxConnections = 4
    await harness.runLoad(20, 2_000)
    await harness.drain()
    expect(harness.servedInTime()).toBeGreaterThan(0.9)
  })
})

import { expect, it } from 'vitest'
import { claimPorts } from '../src'

it('claims a different range on each call, wherever the search starts', async () => {
  const first = await claimPorts(() => 0)
  const second = await claimPorts(() => 0)
  const last = await claimPorts(() => 0.999)
  expect(new Set([first, second, last]).size).toBe(3)
  for (const base of [first, second, last]) {
    expect(base).toBeGreaterThanOrEqual(10_000)
    expect(base + 700).toBeLessThanOrEqual(32_768)
  }
})

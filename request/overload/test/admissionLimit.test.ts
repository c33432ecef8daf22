import { describe, expect, it } from 'vitest'
import { AdmissionLimit } from '../src'

/** Reports a state every 50 ms for a while. */
function report(
  limit: AdmissionLimit,
  { delayMs, running }: { delayMs: number; running: number },
  from: number,
  forMs: number,
) {
  for (let now = from; now < from + forMs; now += 50) limit.update({ isDelayed: delayMs > 15, running, now })
}

describe('the limit on the requests in progress', () => {
  it('does not exist until a delay has lasted longer than a pause', () => {
    const limit = new AdmissionLimit()
    report(limit, { delayMs: 400, running: 40 }, 0, 200)
    expect(limit.isLimiting).toBe(false)
    report(limit, { delayMs: 0, running: 40 }, 200, 100)
    report(limit, { delayMs: 400, running: 40 }, 300, 200)
    expect(limit.isLimiting).toBe(false)
    report(limit, { delayMs: 400, running: 40 }, 500, 100)
    expect(limit.value).toBeLessThanOrEqual(40)
  })

  it('never limits an entry with few requests in progress, whatever delays it', () => {
    const limit = new AdmissionLimit()
    report(limit, { delayMs: 400, running: 8 }, 0, 5_000)
    expect(limit.isLimiting).toBe(false)
  })

  it('follows the requests in progress down, by steps', () => {
    const limit = new AdmissionLimit()
    report(limit, { delayMs: 100, running: 100 }, 0, 300)
    limit.update({ now: 300, isDelayed: true, running: 10 })
    expect(limit.value).toBeGreaterThan(40)
    report(limit, { delayMs: 100, running: 10 }, 350, 3_000)
    expect(limit.value).toBe(10)
  })

  it('rises while it keeps requests out, and is lifted once it keeps out none', () => {
    const limit = new AdmissionLimit()
    report(limit, { delayMs: 100, running: 50 }, 0, 1_000)
    const lowest = limit.value
    for (let now = 1_000; now < 2_000; now += 50) {
      limit.allows(1_000, now)
      limit.update({ now, isDelayed: false, running: 30 })
    }
    expect(limit.value).toBeGreaterThan(lowest + 5)
    report(limit, { delayMs: 0, running: 30 }, 2_000, 1_200)
    expect(limit.isLimiting).toBe(false)
  })
})

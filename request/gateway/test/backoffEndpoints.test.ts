// Guards against requests to an endpoint that asks for backoff with 503 and `Retry-After`. Without reading the header, an endpoint
// that rejects within 2 ms looks idle and fast: at 30 requests a second over eight entries it got 22 to 39 a second including
// retries, and up to 17 from one entry within a backoff of 3 s. The retry budget was used up, so some callers were refused
// although the other two endpoints were free.
import { afterEach, describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { BackoffHarness } from './backoffHarness'

const open: BackoffHarness[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((harness) => harness.stop()))))

async function start(entries: number, workers?: number): Promise<BackoffHarness> {
  const harness = await BackoffHarness.start(entries, workers)
  open.push(harness)
  return harness
}

/** Requests of one entry that may reach an endpoint during one backoff. */
const MAX_IN_BACKOFF = 2

describe('endpoints that ask for backoff', () => {
  it('get at most two more requests from each entry during the backoff, and callers are served elsewhere', async () => {
    const harness = await start(8)
    await harness.runLoad(30, 3_000)
    const since = harness.clock.now()
    harness.startRejecting(2, 9_000, () => '3')
    await harness.runLoad(30, 9_000)
    await harness.drain()
    expect(harness.workers[2]!.maxInBackoff()).toBeLessThanOrEqual(MAX_IN_BACKOFF)
    expect(harness.servedInTime(since)).toBeGreaterThan(0.97)
  })

  it('reject at most one request per entry and backoff, apart from those in transit', async () => {
    const harness = await start(8)
    await harness.runLoad(30, 3_000)
    harness.startRejecting(2, 9_000, () => '3')
    const from = harness.clock.now()
    await harness.runLoad(30, 9_000)
    // Eight entries with three backoffs each.
    expect(harness.workers[2]!.rateWithin(from, harness.clock.now()) * 9).toBeLessThanOrEqual(8 * 4)
  })

  it('get as many requests as before within 2 s of their recovery', async () => {
    const harness = await start(8)
    await harness.runLoad(30, 5_000)
    const before = harness.workers[2]!.rateWithin(harness.clock.now() - 4_000, harness.clock.now())
    harness.startRejecting(2, 6_000, (leftMs) => String(Math.max(0.1, leftMs / 1_000)))
    await harness.runLoad(30, 8_000)
    const from = harness.clock.now()
    await harness.runLoad(30, 6_000)
    expect(harness.workers[2]!.rateWithin(from, harness.clock.now())).toBeGreaterThan(before * 0.7)
  })

  it('get nothing if all ask for backoff: callers are refused at once as not run, until one has recovered', async () => {
    const harness = await start(4, 2)
    await harness.runLoad(20, 1_000)
    harness.startRejecting(0, 4_000, (leftMs) => String(leftMs / 1_000))
    harness.startRejecting(1, 6_000, (leftMs) => String(leftMs / 1_000))
    const recoversAt = harness.clock.now() + 4_000
    await harness.runLoad(20, 1_000)
    const since = harness.clock.now()
    const before = harness.workers.map(({ arrivals }) => arrivals.length)
    await harness.runLoad(20, 2_000)
    await harness.drain()
    expect(harness.workers.map(({ arrivals }) => arrivals.length)).toEqual(before)
    const refused = harness.outcomes.filter(({ sentAt }) => sentAt >= since)
    expect(refused.length).toBeGreaterThan(30)
    for (const { status, tookMs, retryAfter, sentAt } of refused) {
      expect(status).toBe(503)
      expect(tookMs).toBeLessThanOrEqual(50)
      expect(sentAt + retryAfter! * 1_000).toBeGreaterThanOrEqual(recoversAt)
      expect(sentAt + retryAfter! * 1_000).toBeLessThan(recoversAt + 2_000)
    }
  })

  it.each([1, 2, 3, 4, 5, 6])(
    'get no more than that for arbitrary header values and times (seed %i)',
    async (seed) => {
      const harness = await start(12, 4)
      const random = createSeededRandom(seed)
      const headerValues = [
        () => '3',
        () => '0.2',
        () => '0',
        () => String(random() * 8),
        () => 'soon',
        () => '-2',
        () => undefined,
      ]
      for (let second = 0; second < 20; second += 1) {
        const headerValue = headerValues[Math.floor(random() * headerValues.length)]!
        if (random() < 0.5) harness.startRejecting(Math.floor(random() * 4), random() * 6_000, headerValue)
        await harness.runLoad(60, 1_000)
      }
      expect(harness.workers.map((one) => Math.max(0, one.maxInBackoff() - MAX_IN_BACKOFF))).toEqual([
        0, 0, 0, 0,
      ])
    },
  )
})

describe('endpoints that announce in their answers that they leave', () => {
  it('get nothing more from the entries that know, whose callers are served elsewhere', async () => {
    const harness = await start(8)
    await harness.runLoad(30, 3_000)
    harness.workers[1]!.leaves = true
    const since = harness.clock.now()
    await harness.runLoad(30, 6_000)
    await harness.drain()
    expect(harness.workers[1]!.leavingKnownAt.size).toBe(8)
    expect(harness.workers[1]!.afterLeaving()).toBe(0)
    expect(harness.servedInTime(since)).toBeGreaterThan(0.99)
  })
})

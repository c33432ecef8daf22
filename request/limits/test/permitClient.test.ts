import { describe, expect, it, vi } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { recordRejections } from '../../../core/clock/test/recordRejections'
import { PermitClient, RateTable, type LimitAnswer, type LimitReport } from '../src'

/** A client that knows a rate of `a`, and the reports that it sent; the leader answers when `answer` is called. */
function newClient() {
  const clock = new ManualClock(10_000)
  const rates = new RateTable({ clock, logger: createSilentLogger() })
  const reports: LimitReport[] = []
  const waiting: ((answer: LimitAnswer | undefined) => void)[] = []
  const client = new PermitClient({
    entry: 'e',
    clock,
    rates,
    report: (report) => {
      reports.push(report)
      return new Promise((resolve) => waiting.push(resolve))
    },
    leader: () => 'leader',
    reportEveryMs: 500,
  })
  client.start()
  rates.recordAnswer('a', 4)
  const answer = async (permits: number | undefined) => {
    const word = { perSecond: 4, ageMs: 0 }
    waiting.shift()!(permits === undefined ? undefined : { grants: { a: { word, permits } } })
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve()
  }
  return { clock, rates, client, reports, answer }
}

describe('PermitClient', () => {
  // Guards against reports that one unexpected error stops for good.
  it('goes on reporting after an unexpected error', async () => {
    const { clock, rates, client, reports } = newClient()
    const failure = new Error('unexpected')
    vi.spyOn(rates, 'advertisedRateOf').mockImplementationOnce(() => {
      throw failure
    })
    const rejections = await recordRejections(() => Promise.resolve(client.recordDemand('a')))
    expect(rejections).toEqual([failure])
    expect(reports).toEqual([])
    clock.advance(600)
    expect(reports).toHaveLength(1)
  })

  it('reports at once for a request without a permit, and uses each permit once', async () => {
    const { client, reports, answer } = newClient()
    client.recordDemand('a')
    expect(reports).toHaveLength(1)
    expect(reports[0]!.endpoints['a']).toMatchObject({ wanted: 1, returned: 0 })
    expect(client.isLeaderReachable()).toBe(false)
    await answer(1)
    expect(client.isLeaderReachable()).toBe(true)
    expect(client.usePermit('a')).toBeDefined()
    expect(client.usePermit('a')).toBeUndefined()
  })

  it('returns permits that expired unused, counted from the report and not from its answer', async () => {
    const { clock, client, reports, answer } = newClient()
    client.recordDemand('a')
    clock.advance(400)
    await answer(1)
    clock.advance(299)
    expect(client.hasPermit('a')).toBe(true)
    clock.advance(1)
    expect(client.hasPermit('a')).toBe(false)
    await answer(0)
    clock.advance(600)
    expect(reports.at(-1)!.endpoints['a']).toMatchObject({ wanted: 0, returned: 1 })
  })

  it('delays the next report if the leader granted too few permits', async () => {
    const { clock, client, reports, answer } = newClient()
    client.recordDemand('a')
    await answer(0)
    client.recordDemand('a')
    expect(reports).toHaveLength(1)
    clock.advance(300)
    expect(reports).toHaveLength(2)
  })

  // The leader places model requests and does not count them until it knows the rate.
  it('reports a new rate at once even without demand, and also its withdrawal', async () => {
    const { clock, rates, reports, answer } = newClient()
    clock.advance(50)
    expect(reports).toHaveLength(1)
    await answer(0)
    rates.recordAnswer('a', 4.1)
    clock.advance(50)
    expect(reports).toHaveLength(1)
    rates.recordAnswer('b', 9)
    clock.advance(50)
    expect(reports).toHaveLength(2)
    await answer(0)
    rates.recordAnswer('b', undefined)
    clock.advance(50)
    expect(reports).toHaveLength(3)
    expect(reports[2]!.endpoints['b']!.word.perSecond).toBeNull()
  })

  it('treats the leader as unreachable after two reports without an answer', async () => {
    const { clock, client, answer } = newClient()
    client.recordDemand('a')
    await answer(1)
    clock.advance(600)
    await answer(undefined)
    expect(client.isLeaderReachable()).toBe(true)
    clock.advance(400)
    expect(client.isLeaderReachable()).toBe(false)
  })

  it('drops permits that were granted before a suspension', async () => {
    const { clock, client, answer } = newClient()
    client.recordDemand('a')
    await answer(2)
    clock.suspend()
    expect(client.hasPermit('a')).toBe(false)
    expect(client.isLeaderReachable()).toBe(false)
    clock.advance(600)
    clock.suspend()
    await answer(2)
    expect(client.hasPermit('a')).toBe(false)
  })
})

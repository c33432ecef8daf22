import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { PermitClient, RateTable, type LimitAnswer, type LimitReport } from '../src'

/** A keeper that knows a rate of `a`, and what it has told the leader; the leader answers when it is told to. */
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
  it('asks at once for a request without a permit, and uses each permit once', async () => {
    const { client, reports, answer } = newClient()
    client.recordDemand('a')
    expect(reports).toHaveLength(1)
    expect(reports[0]!.endpoints['a']).toMatchObject({ wanted: 1, returned: 0 })
    expect(client.isLeaderReachable()).toBe(false)
    await answer(1)
    expect(client.isLeaderReachable()).toBe(true)
    expect(client.usePermit('a')).toBe(true)
    expect(client.usePermit('a')).toBe(false)
  })

  it('gives back what ran out unused, counted from when it asked and not from when the answer came', async () => {
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

  it('asks again only after a while where the leader had too few', async () => {
    const { clock, client, reports, answer } = newClient()
    client.recordDemand('a')
    await answer(0)
    client.recordDemand('a')
    expect(reports).toHaveLength(1)
    clock.advance(300)
    expect(reports).toHaveLength(2)
  })

  // The leader places model requests, and goes on counting none of them until it has heard of the rate.
  it('tells the leader at once of a rate that is new, though nothing wants a permit, and of one that was taken back', async () => {
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

  it('is alone once the leader has been silent for two reports', async () => {
    const { clock, client, answer } = newClient()
    client.recordDemand('a')
    await answer(1)
    clock.advance(600)
    await answer(undefined)
    expect(client.isLeaderReachable()).toBe(true)
    clock.advance(400)
    expect(client.isLeaderReachable()).toBe(false)
  })

  it('takes nothing for permitted that was promised before a suspension', async () => {
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

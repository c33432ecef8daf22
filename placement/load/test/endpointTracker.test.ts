import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import type { EndpointRow } from '@forkstage/types'
import { Ejection, EndpointTracker, OutputForecast, RetryBudget, ShareCounter } from '../src'

const row = (patch: Partial<EndpointRow> = {}): EndpointRow => ({
  endpoint: 'd',
  address: '127.0.0.1:1',
  domain: 'x',
  service: 's',
  pool: 'decode',
  models: ['m'],
  weight: 1,
  maxInFlight: 4,
  kvTokens: 1_000,
  promptTokensPerSecond: 0,
  state: 'serve',
  checksFences: true,
  repeatable: true,
  ...patch,
})
const report = {
  ageMs: 0,
  queuedPrefillTokens: 100,
  prefillTokensPerSecond: 1_000,
  runningStreams: 1,
  kvTokensUsed: 200,
  kvTokensTotal: 1_000,
  stepMs: 20,
  leaving: false,
  deterministic: true,
}
const update = {
  report,
  share: 2,
  leaseMs: 1_000,
  promptTokensPerSecond: Infinity,
  othersPrefillTokens: 0,
  cacheEvents: [],
}

function createTracker(patch: Partial<EndpointRow> = {}) {
  const clock = new ManualClock(1_000)
  const tracker = new EndpointTracker({ clock, random: () => 0.5, logger: createSilentLogger() })
  tracker.setTable({ endpoints: [row(patch)], links: [] })
  return { clock, tracker }
}

describe('EndpointTracker', () => {
  it('sends nothing without a share, beyond it, or after its lease', () => {
    const { clock, tracker } = createTracker()
    expect(tracker.closedReason('d')).toBe('no-credit')
    tracker.applyUpdate('d', update)
    expect(tracker.closedReason('d')).toBeUndefined()
    for (const request of ['r1', 'r2'])
      tracker.recordSent('d', request, { promptTokens: 1, prefillTokens: 0, kvTokens: 1 }, [])
    expect(tracker.closedReason('d')).toBe('no-credit')
    tracker.recordEnded('d', 'r1')
    expect(tracker.closedReason('d')).toBeUndefined()
    clock.advance(1_001)
    expect(tracker.closedReason('d')).toBe('no-credit')
  })

  it.each([
    [{ state: 'drain' as const }, 'state'],
    [{ weight: 0 }, 'weight'],
  ])('closes a row with %j', (patch, reason) => {
    const { tracker } = createTracker(patch)
    tracker.applyUpdate('d', update)
    expect(tracker.closedReason('d')).toBe(reason)
  })

  it('closes an endpoint that is leaving by its own report or by the platform’s list', () => {
    const { tracker } = createTracker()
    tracker.applyUpdate('d', { ...update, report: { ...report, leaving: true } })
    expect(tracker.closedReason('d')).toBe('leaving')
    tracker.applyUpdate('d', update)
    tracker.setLeaving(['d'])
    expect(tracker.closedReason('d')).toBe('leaving')
  })

  it('combines a lagging report with what was sent and prefilled since', () => {
    const { clock, tracker } = createTracker()
    tracker.applyUpdate('d', update)
    clock.advance(50)
    tracker.recordSent('d', 'r', { promptTokens: 300, prefillTokens: 300, kvTokens: 300 }, [])
    const view = tracker.view([]).endpoints[0]!
    expect([view.queuedPrefillTokens, view.kvTokensUsed]).toEqual([350, 500])
    clock.advance(10)
    tracker.applyUpdate('d', {
      ...update,
      report: { ...report, kvTokensUsed: 500, queuedPrefillTokens: 340 },
    })
    expect(tracker.view([]).endpoints[0]!.kvTokensUsed).toBe(500)
  })

  it('prefers what the other boxes report as sent over an older report of the engine', () => {
    const { tracker } = createTracker()
    tracker.applyUpdate('d', { ...update, othersPrefillTokens: 5_000 })
    tracker.recordSent('d', 'r', { promptTokens: 300, prefillTokens: 300, kvTokens: 300 }, [])
    expect(tracker.view([]).endpoints[0]!.queuedPrefillTokens).toBe(5_300)
    tracker.recordPrefilled('d', 'r')
    expect(tracker.prefillTokens('d')).toBe(0)
  })

  it('enforces the prompt tokens a second of the row', () => {
    const { clock, tracker } = createTracker({ promptTokensPerSecond: 100 })
    tracker.applyUpdate('d', { ...update, promptTokensPerSecond: 100 })
    clock.advance(1_000)
    expect(tracker.closedReason('d')).not.toBe('rate-limit')
    tracker.applyUpdate('d', { ...update, promptTokensPerSecond: 100 })
    tracker.recordSent('d', 'r', { promptTokens: 250, prefillTokens: 0, kvTokens: 0 }, [])
    expect(tracker.closedReason('d')).toBe('rate-limit')
    clock.advance(900)
    expect(tracker.closedReason('d')).toBe('rate-limit')
    clock.advance(99)
    clock.advance(700)
    tracker.applyUpdate('d', { ...update, promptTokensPerSecond: 100 })
    expect(tracker.closedReason('d')).toBeUndefined()
  })
})

describe('Ejection', () => {
  it('ejects after failures in a row, lets one probe through, and doubles the next ejection', () => {
    const ejection = new Ejection({ failures: 2, firstMs: 100, longestMs: 1_000 })
    const random = () => 0.5
    expect(ejection.recordFailure(0, random)).toBeUndefined()
    expect(ejection.recordFailure(0, random)).toEqual({ type: 'ejected', forMs: 100 })
    expect([ejection.isOpen(99), ejection.isOpen(100)]).toEqual([false, true])
    ejection.recordSent(100)
    expect(ejection.isOpen(100)).toBe(false)
    expect(ejection.recordFailure(101, random)).toEqual({ type: 'ejected', forMs: 200 })
    ejection.recordSent(301)
    expect(ejection.recordSuccess()).toEqual({ type: 'restored' })
    expect(ejection.isOpen(302)).toBe(true)
  })
})

describe('retry budget, output forecast and share counter', () => {
  it('limits retries to a share of first tries', () => {
    const budget = new RetryBudget(0.1)
    while (budget.tryConsume());
    for (let n = 0; n < 100; n += 1) budget.recordFirstTry()
    let taken = 0
    while (budget.tryConsume()) taken += 1
    expect(taken).toBeGreaterThanOrEqual(9)
    expect(taken).toBeLessThanOrEqual(11)
    expect(new RetryBudget(0).tryConsume()).toBe(false)
  })

  it('forecasts a high quantile of answer lengths, never beyond the caller’s limit', () => {
    const forecast = new OutputForecast()
    for (let n = 0; n < 3_000; n += 1) forecast.learn('check', 10 + (n % 100))
    expect(forecast.expect('check', 1_000)).toBeGreaterThan(80)
    expect(forecast.expect('check', 1_000)).toBeLessThan(111)
    expect(forecast.expect('check', 5)).toBe(5)
  })

  it('compares shares with weights over about a minute', () => {
    const shares = new ShareCounter()
    for (let n = 0; n < 30; n += 1) shares.add(n % 3 === 0 ? 'a' : 'b', 1, n)
    const ratios = shares.ratios(
      [
        { endpoint: 'a', weight: 1 },
        { endpoint: 'b', weight: 1 },
      ],
      30,
    )
    expect(ratios.get('a')).toBeCloseTo(2 / 3, 1)
    expect(ratios.get('b')).toBeCloseTo(4 / 3, 1)
  })
})

import { describe, expect, it } from 'vitest'
import type { Placed } from '@forkstage/allocator'
import { ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { PermitClient, RateTable, type LimitAnswer } from '@forkstage/limits'
import { createSilentLogger } from '@forkstage/logger'
import { EndpointPool, EndpointRateLimiter, LocalPlacer } from '../src'
import { endpointWithDefaults } from './rowsWithDefaults'

const AT = { endpoint: endpointWithDefaults({ id: 'd1', stage: 'decode' }, 0) }
const SECONDS_UNTIL_SETTLED = 31

/** Creates the limiter of one of four entries, with a scripted leader; `d1` advertises 4 requests per second. */
function createLimiter(options: { perSecond?: number; draw?: number } = {}) {
  const { perSecond = 4, draw = 0.5 } = options
  const clock = new ManualClock(10_000)
  const logger = createSilentLogger()
  const rates = new RateTable({ clock, logger })
  let answer: LimitAnswer | undefined
  const permitClient = new PermitClient({
    entry: 'e',
    clock,
    rates,
    report: () => Promise.resolve(answer),
    leader: () => 'leader',
    reportEveryMs: 500,
  })
  const tolerance = { windowMs: 4_000, over: 0.5, slack: 5 }
  const one = new EndpointRateLimiter({
    clock,
    random: () => draw,
    rates,
    permits: permitClient,
    tolerance,
    entries: () => 4,
  })
  clock.advance(SECONDS_UNTIL_SETTLED * 1_000)
  rates.recordAnswer('d1', perSecond)
  const settle = async () => {
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve()
  }
  /** Lets the leader grant this many permits. */
  const permit = async (permits: number, word = { perSecond, ageMs: 0 }) => {
    answer = { grants: { d1: { word, permits } } }
    permitClient.recordDemand('d1')
    await settle()
    answer = undefined
  }
  const send = (request = 'r', to: RegisteredEndpoint = AT.endpoint) =>
    one.checkAndCount(to, request, 'decode')
  const sendMany = (count: number) =>
    Array.from({ length: count }, () => send()).filter((why) => why === undefined).length
  return { clock, rates, limiter: one, permit, send, sendMany }
}

const placed = (fields: Partial<Placed> = {}): Placed => ({ type: 'placed', decode: 'd1', ...fields })

describe('EndpointRateLimiter', () => {
  it('does not limit sends to endpoints that advertise no rate', () => {
    const { send } = createLimiter()
    const other = endpointWithDefaults({ id: 'd2' }, 1)
    for (let index = 0; index < 50; index += 1) expect(send(`r${index}`, other)).toBeUndefined()
  })

  it('allows a step that the leader counted for a place once, within its time', async () => {
    const { limiter: one, clock, send, permit } = createLimiter()
    await permit(0)
    const counted = { limited: { waitedMs: 0, decodeMs: 250 } }
    one.addGrants('r1', placed(counted), clock.now())
    expect(send('r1')).toBeUndefined()
    expect(send('r1')).toBe('endpoints take no more now')
    one.addGrants('r2', placed(counted), clock.now())
    clock.advance(251)
    expect(send('r2')).toBe('endpoints take no more now')
    // A placement that the leader did not count, since it did not know the rate yet.
    one.addGrants('r3', placed(), clock.now())
    expect(send('r3')).toBe('endpoints take no more now')
  })

  it.each(['a permit', 'the grant of a place', 'the pace without the leader'])(
    'does not count a sending that is taken back against %s',
    async (what) => {
      const { limiter: one, clock, send, sendMany, permit } = createLimiter({ draw: 0.99 })
      await permit(what === 'the grant of a place' ? 0 : 2)
      const counted = { limited: { waitedMs: 0, decodeMs: 250 } }
      if (what === 'the grant of a place') one.addGrants('r', placed(counted), clock.now())
      if (what === 'the pace without the leader') {
        expect(sendMany(2)).toBe(2)
        clock.advance(SECONDS_UNTIL_SETTLED * 1_000)
      }
      const refunds: (() => void)[] = []
      const sendAndTakeBack = () =>
        one.checkAndCount(AT.endpoint, 'r', 'decode', (refund) => refunds.push(refund))
      for (let count = 0; count < 20; count += 1) {
        expect(sendAndTakeBack()).toBeUndefined()
        refunds.splice(0).forEach((refund) => refund())
      }
      expect(send()).toBeUndefined()
    },
  )

  it('limits the time of a place from its earliest possible decision, not from its arrival', async () => {
    const { limiter: one, clock, send, permit } = createLimiter()
    await permit(0)
    const askedAt = clock.now()
    clock.advance(600)
    one.addGrants('r1', placed({ limited: { waitedMs: 300, decodeMs: 250 } }), askedAt)
    expect(send('r1')).toBe('endpoints take no more now')
  })

  it('continues without the leader at the pace of its permits, and no faster', async () => {
    const { clock, permit, sendMany } = createLimiter({ draw: 0.99 })
    for (let second = 0; second < 8; second += 1) {
      await permit(2)
      expect(sendMany(5)).toBe(2)
      clock.advance(1_000)
    }
    // Two per second over four seconds; sends without the leader do not extend this.
    let sentWithoutLeader = 0
    for (let step = 0; step < 12; step += 1) {
      clock.advance(1_000)
      sentWithoutLeader += sendMany(9)
    }
    expect(sentWithoutLeader).toBeLessThanOrEqual(24)
    expect(sentWithoutLeader).toBeGreaterThanOrEqual(16)
  })

  it('continues more slowly where the rate has been lowered meanwhile', async () => {
    const { rates, clock, permit, sendMany } = createLimiter({ draw: 0.99 })
    for (let second = 0; second < 5; second += 1) {
      await permit(2)
      sendMany(5)
      clock.advance(1_000)
    }
    clock.advance(5_000)
    rates.recordAnswer('d1', 1)
    expect(sendMany(9)).toBe(2)
  })

  it('has a small share of the remaining tolerance where it had no permits from the leader yet', () => {
    const { sendMany, clock } = createLimiter({ draw: 0.01 })
    // 6 x 4 + 5 less 5 x 4 + 3 are 6 for all entries; the draws of four entries vary, so that one has at most 1 here.
    expect(sendMany(9)).toBe(1)
    clock.advance(3_900)
    expect(sendMany(9)).toBe(0)
    clock.advance(200)
    expect(sendMany(9)).toBe(1)
  })

  it('ignores a place that was given before a suspension', async () => {
    const { limiter: one, clock, send, permit } = createLimiter({ draw: 0.99 })
    await permit(1)
    one.addGrants('r1', placed({ limited: { waitedMs: 0, decodeMs: 250 } }), clock.now())
    clock.suspend()
    expect(send('r1')).toBe('endpoints take no more now')
  })
})

describe('LocalPlacer, with engines that advertise rates', () => {
  it('refuses at once where all engines are at their rates', async () => {
    const { limiter: limits, clock, permit } = createLimiter()
    await permit(0)
    const pool = new EndpointPool({ zone: 'z', clock, random: () => 0, logger: createSilentLogger() })
    pool.update([{ ...AT.endpoint, service: 's' }])
    const placer = new LocalPlacer({ pool, kvTokens: () => 10_000, entries: () => 1, limits })
    const tokens = { promptTokens: 10, mostTokens: 10 }
    const times = { targetMs: 900, promptMs: 150, holdMs: 600, leftMs: 10_000 }
    const rest = {
      request: 'r',
      service: 's',
      className: 'c',
      priority: 1,
      isReturn: false,
      isPrefilled: true,
    }
    const work = { ...tokens, ...times, ...rest, except: new Set<string>() }
    expect(await placer.place(work)).toMatchObject({ type: 'refused', reason: 'endpoints take no more now' })
    clock.advance(300)
    await permit(1)
    expect(await placer.place(work)).toMatchObject({ type: 'place' })
  })
})

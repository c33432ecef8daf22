import { createSeededRandom } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { ColdBudget, type Placed } from '../src'
import { ask, coldWorld, engine } from './fixtures'

const B = 50
const LEADER = 30
/** Long enough to have led, so that no earlier leader's places are out. */
const LED = 10_000

/** The most of some times that fall into any second. */
function mostInSecond(times: number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length))
}

function budget(leads = 0) {
  const one = new ColdBudget({ leftMs: (_id, at) => 60_000 - at, perSecond: () => B })
  one.noteLeads(leads)
  return one
}

describe('ColdBudget', () => {
  it('lets no second hold more than the leader’s part, whenever in its span each step leaves', () => {
    const random = createSeededRandom(11)
    const engineOf = engine('d1', 'decode')
    const one = budget(-LED)
    const left: number[] = []
    for (let now = 0; now < 8_000; now += 5) {
      const request = ask('r', { isPrefilled: random() < 0.5 })
      if (!one.mayDecode(engineOf, request, now)) continue
      const prefill = request.isPrefilled ? undefined : engine('warm', 'prefill')
      const grant = one.grant({ prefill, decode: engineOf }, 0, now)!
      // Some leave at once, some as late as they may: the worst for a count that looks at decisions only.
      left.push(now + (random() < 0.5 ? 0 : grant.decodeMs!))
    }
    expect(left.length).toBeGreaterThan(100)
    expect(mostInSecond(left)).toBeLessThanOrEqual(LEADER)
  })

  it('gives little for as long as an earlier leader’s places may be out', () => {
    const one = budget(0)
    const engineOf = engine('p1', 'prefill')
    const given: number[] = []
    for (let now = 0; now < 5_000; now += 10) {
      if (!one.mayRead(engineOf, now)) continue
      one.grant({ prefill: engineOf, decode: engine('d', 'decode') }, 0, now)
      given.push(now)
    }
    expect(mostInSecond(given.filter((at) => at < 2_250))).toBeLessThanOrEqual(B / 10)
    expect(given.filter((at) => at < 1_000).length).toBeGreaterThan(0)
    expect(mostInSecond(given)).toBeGreaterThan(B / 10)
  })

  it('bounds nothing of an engine that is warm, and counts nothing there', () => {
    const one = new ColdBudget({ leftMs: () => 0, perSecond: () => 0 })
    expect(one.mayRead(engine('p1', 'prefill'), 0)).toBe(true)
    expect(one.grant({ decode: engine('d1', 'decode') }, 0, 0)).toBeUndefined()
  })
})

describe('Allocator, with cold engines', () => {
  const domain = () => ['d1', 'd2', 'd3'].map((id) => engine(id, 'decode'))
  const tiny = { promptTokens: 100, mostTokens: 200, hintTokens: 100 }

  it('spreads a burst over warm engines first, not over those with the least load', () => {
    const { place, decisions } = coldWorld([engine('p1', 'prefill'), ...domain()], ['d2', 'd3'], B)
    const warm = { promptTokens: 1_000, hintTokens: 200, mostTokens: 400 }
    for (let index = 0; index < 3; index += 1) place(ask(`r${index}`, warm), LED)
    const decodes = [...decisions.values()].map((one) => (one as Placed).decode)
    expect(decodes).toEqual(['d1', 'd1', 'd1'])
  })

  it('lets cold ones join before warm ones are full, and says within how long each step must leave', () => {
    const { place, decisions } = coldWorld([engine('p1', 'prefill'), ...domain()], ['p1', 'd2', 'd3'], B)
    for (let index = 0; index < 3; index += 1) place(ask(`r${index}`), LED + index)
    const placed = [...decisions.values()] as Placed[]
    expect(placed.map(({ decode }) => decode === 'd1')).toContain(false)
    expect(placed[0]!.cold).toMatchObject({ waitedMs: 0, prefillMs: 250 })
    const atCold = placed.find(({ decode }) => decode !== 'd1')!
    expect(atCold.cold).toMatchObject({ prefillMs: 250, decodeMs: 1_000 })
  })

  it('refuses as early and truthfully what exceeds the budget where cold ones are all there are', () => {
    const { allocator, place, decisions } = coldWorld(
      [engine('p1', 'prefill'), engine('d1', 'decode')],
      ['d1'],
      10,
    )
    for (let index = 0; index < 20; index += 1) place(ask(`r${index}`, { ...tiny, isPrefilled: true }), LED)
    const placed = [...decisions.values()].filter(({ type }) => type === 'placed')
    expect(placed).toHaveLength(6)
    const refused = [...decisions.values()].filter(({ type }) => type === 'refused')
    expect(refused).toHaveLength(14)
    for (const one of refused) {
      expect(one).toMatchObject({ reason: 'cold engines get no more now' })
      // What left within 250 ms leaves the second after 1,250 ms.
      expect((one as { retryAfterMs: number }).retryAfterMs).toBeGreaterThanOrEqual(1_250)
    }
    expect(allocator.outlook(ask('x'), LED).cold).toEqual({ engines: 1, withheld: 1 })
  })

  it('goes on at a cold engine when the last warm one is lost, by its budget', () => {
    const { allocator, place, decisions } = coldWorld(
      [engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')],
      ['d2'],
      10,
    )
    for (let times = 0; times < 2; times += 1) allocator.noteUse('d1', 'unreachable', LED)
    for (let index = 0; index < 9; index += 1) place(ask(`r${index}`, { ...tiny, isPrefilled: true }), LED)
    const decodes = [...decisions.values()].flatMap((one) => (one.type === 'placed' ? [one.decode] : []))
    expect(decodes).toEqual(Array(6).fill('d2'))
  })

  it('believes neither an engine’s slowness nor its silence while it is cold', () => {
    const cold = coldWorld([engine('p1', 'prefill'), engine('d1', 'decode')], ['p1', 'd1'], B)
    for (let times = 0; times < 4; times += 1) cold.allocator.noteUse('d1', 'silent', LED, 500)
    cold.place(ask('one', tiny), LED)
    expect(cold.decodeOf('one')).toBe('d1')
    const warm = coldWorld([engine('p1', 'prefill'), engine('d1', 'decode')], [], B)
    for (let times = 0; times < 4; times += 1) warm.allocator.noteUse('d1', 'silent', LED, 500)
    expect(warm.ejected).toContain('d1')
    expect(cold.ejected).toEqual([])
  })

  it('learns no pace from what a cold engine does, and forgets what it had shown', () => {
    const { pace, cold } = coldWorld([engine('p1', 'prefill'), engine('p2', 'prefill')], [], B)
    const slow = { promptTokens: 3_000, tookMs: 900, isAlone: true, isGivenUp: false }
    cold.add('p1')
    for (let now = LED; now < LED + 4_000; now += 900) pace.learnReading('p1', slow, now)
    expect(pace.view('p1', 'prefill', LED + 4_000).slowness).toBe(1)
    for (let now = LED; now < LED + 4_000; now += 900) pace.learnReading('p2', slow, now)
    expect(pace.view('p2', 'prefill', LED + 4_000).ageMs).toBeLessThan(Infinity)
    pace.forget('p2')
    expect(pace.view('p2', 'prefill', LED + 4_000).ageMs).toBe(Infinity)
  })
})

import { createSeededRandom } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { ColdBudget, type Placed } from '../src'
import { ask, createColdAllocator, engine } from './fixtures'

const REQUESTS_PER_SECOND = 50
const LEADER_LIMIT = 25
const NEW_LEADER_LIMIT = 10
/** Long after the leader's start, when grants of earlier leaders have expired. */
const ESTABLISHED_MS = 10_000

/** Returns the largest number of the times that fall into one second. */
function mostInSecond(times: number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length))
}

function createBudget(leads = 0) {
  const one = new ColdBudget({ leftMs: (_id, at) => 60_000 - at, perSecond: () => REQUESTS_PER_SECOND })
  one.markLeading(leads)
  return one
}

describe('ColdBudget', () => {
  it('allows no second more than the leader’s limit, whenever within its span each step is sent', () => {
    const random = createSeededRandom(11)
    const engineOf = engine('d1', 'decode')
    const one = createBudget(-ESTABLISHED_MS)
    const left: number[] = []
    for (let now = 0; now < 8_000; now += 5) {
      const request = ask('r', { isPrefilled: random() < 0.5 })
      if (!one.mayDecode(engineOf, request, now)) continue
      const prefill = request.isPrefilled ? undefined : engine('warm', 'prefill')
      const grant = one.grant({ prefill, decode: engineOf }, 0, now)!
      // Some steps are sent at once and some as late as allowed: the worst case for a count that looks only at
      // decisions.
      left.push(now + (random() < 0.5 ? 0 : grant.decodeMs!))
    }
    expect(left.length).toBeGreaterThan(100)
    expect(mostInSecond(left)).toBeLessThanOrEqual(LEADER_LIMIT)
  })

  it('grants little while an earlier leader’s grants may still be in use', () => {
    const one = createBudget(0)
    const engineOf = engine('p1', 'prefill')
    const given: number[] = []
    for (let now = 0; now < 5_000; now += 10) {
      if (!one.mayPrefill(engineOf, now)) continue
      one.grant({ prefill: engineOf, decode: engine('d', 'decode') }, 0, now)
      given.push(now)
    }
    expect(mostInSecond(given.filter((at) => at < 2_250))).toBeLessThanOrEqual(NEW_LEADER_LIMIT)
    expect(given.filter((at) => at < 1_000).length).toBeGreaterThan(0)
    expect(mostInSecond(given)).toBeGreaterThan(NEW_LEADER_LIMIT)
  })

  it('neither limits nor counts steps of a warm engine', () => {
    const one = new ColdBudget({ leftMs: () => 0, perSecond: () => 0 })
    expect(one.mayPrefill(engine('p1', 'prefill'), 0)).toBe(true)
    expect(one.grant({ decode: engine('d1', 'decode') }, 0, 0)).toBeUndefined()
  })
})

describe('Allocator, with cold engines', () => {
  const domain = () => ['d1', 'd2', 'd3'].map((id) => engine(id, 'decode'))
  const tiny = { promptTokens: 100, mostTokens: 200, hintTokens: 100 }

  it('sends a burst to warm engines first rather than to those with the least load', () => {
    const { place, decisions } = createColdAllocator(
      [engine('p1', 'prefill'), ...domain()],
      ['d2', 'd3'],
      REQUESTS_PER_SECOND,
    )
    const warm = { promptTokens: 1_000, hintTokens: 200, mostTokens: 400 }
    for (let index = 0; index < 3; index += 1) place(ask(`r${index}`, warm), ESTABLISHED_MS)
    const decodes = [...decisions.values()].map((one) => (one as Placed).decode)
    expect(decodes).toEqual(['d1', 'd1', 'd1'])
  })

  it('uses cold engines before warm ones are full, and states how soon each step must be sent', () => {
    const { place, decisions } = createColdAllocator(
      [engine('p1', 'prefill'), ...domain()],
      ['p1', 'd2', 'd3'],
      REQUESTS_PER_SECOND,
    )
    for (let index = 0; index < 3; index += 1) place(ask(`r${index}`), ESTABLISHED_MS + index)
    const placed = [...decisions.values()] as Placed[]
    expect(placed.map(({ decode }) => decode === 'd1')).toContain(false)
    expect(placed[0]!.cold).toMatchObject({ waitedMs: 0, prefillMs: 250 })
    const atCold = placed.find(({ decode }) => decode !== 'd1')!
    expect(atCold.cold).toMatchObject({ prefillMs: 250, decodeMs: 1_000 })
  })

  it('refuses at once, with a true retry time, what exceeds the budget if all engines are cold', () => {
    const { allocator, place, decisions } = createColdAllocator(
      [engine('p1', 'prefill'), engine('d1', 'decode')],
      ['d1'],
      10,
    )
    for (let index = 0; index < 20; index += 1)
      place(ask(`r${index}`, { ...tiny, isPrefilled: true }), ESTABLISHED_MS)
    const placed = [...decisions.values()].filter(({ type }) => type === 'placed')
    expect(placed).toHaveLength(5)
    const refused = [...decisions.values()].filter(({ type }) => type === 'refused')
    expect(refused).toHaveLength(15)
    for (const one of refused) {
      expect(one).toMatchObject({ reason: 'cold engines get no more now' })
      // Steps sent within 250 ms are out of the window after 1,250 ms.
      expect((one as { retryAfterMs: number }).retryAfterMs).toBeGreaterThanOrEqual(1_250)
    }
    expect(allocator.summarize(ask('x'), ESTABLISHED_MS).cold).toEqual({ engines: 1, withheld: 1 })
  })

  it('serves three times the usual load from the start if every engine is cold, as after a power loss', () => {
    const ids = Array.from({ length: 16 }, (_, index) => [`p${index}`, `d${index}`]).flat()
    const engines = ids.map((id) => engine(id, id.startsWith('p') ? 'prefill' : 'decode'))
    const { allocator, place, decisions } = createColdAllocator(engines, ids, 54.5)
    // 22 requests per second are usual for 32 engines.
    for (let now = 0; now < 2_000; now += 15) {
      allocator.tick(now)
      place(ask(`r${now}`, tiny), now)
      allocator.release(`r${now - 300}`, 'ok', 100, now)
    }
    expect([...decisions.values()].filter(({ type }) => type !== 'placed')).toEqual([])
    expect(decisions.size).toBe(134)
  })

  it('continues on a cold engine within its budget when the last warm one is lost', () => {
    const { allocator, place, decisions } = createColdAllocator(
      [engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')],
      ['d2'],
      10,
    )
    for (let times = 0; times < 2; times += 1) allocator.recordUse('d1', 'unreachable', ESTABLISHED_MS)
    for (let index = 0; index < 9; index += 1)
      place(ask(`r${index}`, { ...tiny, isPrefilled: true }), ESTABLISHED_MS)
    const decodes = [...decisions.values()].flatMap((one) => (one.type === 'placed' ? [one.decode] : []))
    expect(decodes).toEqual(Array(5).fill('d2'))
  })

  it('ejects no cold engine for being slow or silent', () => {
    const cold = createColdAllocator(
      [engine('p1', 'prefill'), engine('d1', 'decode')],
      ['p1', 'd1'],
      REQUESTS_PER_SECOND,
    )
    for (let times = 0; times < 4; times += 1) cold.allocator.recordUse('d1', 'silent', ESTABLISHED_MS, 500)
    cold.place(ask('one', tiny), ESTABLISHED_MS)
    expect(cold.decodeOf('one')).toBe('d1')
    const warm = createColdAllocator(
      [engine('p1', 'prefill'), engine('d1', 'decode')],
      [],
      REQUESTS_PER_SECOND,
    )
    for (let times = 0; times < 4; times += 1) warm.allocator.recordUse('d1', 'silent', ESTABLISHED_MS, 500)
    expect(warm.ejected).toContain('d1')
    expect(cold.ejected).toEqual([])
  })

  it('learns no pace from a cold engine, and forgets an engine’s pace', () => {
    const { pace, cold } = createColdAllocator(
      [engine('p1', 'prefill'), engine('p2', 'prefill')],
      [],
      REQUESTS_PER_SECOND,
    )
    const slow = { promptTokens: 3_000, tookMs: 900, isAlone: true, isGivenUp: false }
    cold.add('p1')
    for (let now = ESTABLISHED_MS; now < ESTABLISHED_MS + 4_000; now += 900)
      pace.learnPrefill('p1', slow, now)
    expect(pace.view('p1', 'prefill', ESTABLISHED_MS + 4_000).slowness).toBe(1)
    for (let now = ESTABLISHED_MS; now < ESTABLISHED_MS + 4_000; now += 900)
      pace.learnPrefill('p2', slow, now)
    expect(pace.view('p2', 'prefill', ESTABLISHED_MS + 4_000).ageMs).toBeLessThan(Infinity)
    pace.forget('p2')
    expect(pace.view('p2', 'prefill', ESTABLISHED_MS + 4_000).ageMs).toBe(Infinity)
  })
})

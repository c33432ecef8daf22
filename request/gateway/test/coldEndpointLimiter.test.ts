import fc from 'fast-check'
import { createSeededRandom, ManualClock, type Random } from '@forkstage/clock'
import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { describe, expect, it } from 'vitest'
import { ColdEndpointLimiter, EndpointPool, LocalPlacer } from '../src'
import { perEntryShare } from '../src/perEntryShare'

const START_MS = 1_000
/** After an entry's first seconds, in which it assumes many other entries. */
const SETTLED_MS = 11_000

function endpoint(id: string, stage?: Stage): RegisteredEndpoint {
  const base = { service: 's', address: `${id}:1`, zone: 'z', slots: 4, models: [], sequence: 1 }
  return { id, stage, state: 'ready', ...base }
}

/** A limiter for endpoints that are cold unless in `warm`, and its clock. */
function createLimiter(
  fields: { perSecond?: number; entries?: number; random?: Random; clock?: ManualClock } = {},
) {
  const { perSecond = 20, entries = 1, random = () => 0.5, clock = new ManualClock() } = fields
  const warm = new Set<string>()
  const silent = new Set<string>()
  const one = new ColdEndpointLimiter({
    clock,
    random,
    leftMs: (id) => (warm.has(id) ? 0 : 3_000),
    hasReportedCold: (id) => !silent.has(id),
    perSecond: () => perSecond,
    entries: () => entries,
  })
  return { limiter: one, clock, warm, silent }
}

/** Returns how many of several sends are allowed by the static share. */
function tries(one: ColdEndpointLimiter, to: RegisteredEndpoint, count: number): number {
  const results = Array.from({ length: count }, (_, index) => one.checkAndCount(to, `r${index}`, 'plain'))
  return results.filter((reason) => reason === undefined).length
}

describe('ColdEndpointLimiter', () => {
  it('does not limit sends to warm endpoints', () => {
    const { limiter: one, warm } = createLimiter({ perSecond: 0 })
    warm.add('w')
    expect(tries(one, endpoint('w'), 100)).toBe(100)
  })

  it.each([
    [1, 54.5],
    [3, 54.5],
    [81, 54.5],
    [81, 20],
    [81, 5],
    [300, 54.5],
    [5, 0.5],
  ])(
    'limits %i entries that all send at once to %d requests in any second, whatever they draw',
    (entries, perSecond) => {
      fc.assert(
        fc.property(fc.integer(), (seed) => {
          const random = createSeededRandom(seed)
          const clock = new ManualClock()
          const limiters = Array.from(
            { length: entries },
            () => createLimiter({ perSecond, entries, random, clock }).limiter,
          )
          clock.advance(SETTLED_MS)
          // Each entry sends as often as it may, at the end of one second and the beginning of the next.
          let sent = 0
          for (let step = 0; step < 9; step += 1) {
            sent += limiters.reduce(
              (sum, one) => sum + tries(one, endpoint('c'), Math.ceil(perSecond / entries) + 1),
              0,
            )
            clock.advance(100)
          }
          expect(sent).toBeLessThanOrEqual(perSecond)
        }),
        { seed: 30, numRuns: 60 },
      )
    },
  )

  it('allows more than half of the limit where 81 entries draw their shares', () => {
    expect(perEntryShare(54.5, 81) * 81).toBeCloseTo(36)
    expect(perEntryShare(54.5, 3) * 3).toBeCloseTo(50.5, 0)
    // Without the leader, a tenth of that for engines.
    expect(perEntryShare(5.45, 81) * 81).toBeCloseTo(1)
  })

  it('gives every entry a share at one of several cold endpoints', () => {
    const random = createSeededRandom(3)
    const without = Array.from({ length: 200 }, () => {
      const { limiter: one, clock } = createLimiter({ perSecond: 54.5, entries: 81, random })
      clock.advance(SETTLED_MS)
      return ['a', 'b', 'c', 'd'].every((id) => tries(one, endpoint(id), 1) === 0)
    })
    expect(without.filter(Boolean)).toHaveLength(0)
  })

  it('allows no send by the static share in its first second, since an earlier process of the entry may have sent some', () => {
    const { limiter: one, clock } = createLimiter()
    expect(tries(one, endpoint('c'), 5)).toBe(0)
    expect(one.availableInMs([{ endpoint: endpoint('c') }] as never)).toBe(START_MS)
    clock.advance(SETTLED_MS)
    expect(tries(one, endpoint('c'), 5)).toBe(5)
  })

  it('uses the largest recent count of entries, since restarted control machines count from one', () => {
    const clock = new ManualClock()
    let entries = 81
    const one = new ColdEndpointLimiter({
      clock,
      random: () => 0.999,
      leftMs: () => 3_000,
      hasReportedCold: () => true,
      perSecond: () => 54,
      entries: () => entries,
    })
    clock.advance(SETTLED_MS)
    one.sweep()
    entries = 1
    clock.advance(5_000)
    expect(tries(one, endpoint('c'), 60)).toBe(0)
  })

  it('allows a step that the leader counted once, at the placed engine and in time', () => {
    const { limiter: one, clock, warm } = createLimiter({ perSecond: 0 })
    warm.add('p')
    const placed = {
      type: 'placed' as const,
      prefill: 'p',
      decode: 'd',
      cold: { waitedMs: 100, decodeMs: 1_000 },
    }
    one.addGrants('r1', placed, 0)
    one.addGrants('r2', placed, 0)
    clock.advance(1_100)
    expect(one.checkAndCount(endpoint('p', 'prefill'), 'r1', 'prefill')).toBeUndefined()
    expect(one.checkAndCount(endpoint('other', 'decode'), 'r1', 'decode')).toBeDefined()
    expect(one.checkAndCount(endpoint('d', 'decode'), 'r1', 'decode')).toBeUndefined()
    expect(one.checkAndCount(endpoint('d', 'decode'), 'r1', 'decode')).toBeDefined()
    clock.advance(1)
    expect(one.checkAndCount(endpoint('d', 'decode'), 'r2', 'decode')).toBeDefined()
  })

  it('accepts that the leader takes an engine for warm only where the engine has not reported itself as cold', () => {
    const { limiter: one, silent } = createLimiter({ perSecond: 0 })
    silent.add('d1')
    one.addGrants('r1', { type: 'placed', decode: 'd1' }, 0)
    one.addGrants('r2', { type: 'placed', decode: 'd2' }, 0)
    expect(one.checkAndCount(endpoint('d1', 'decode'), 'r1', 'decode')).toBeUndefined()
    expect(one.checkAndCount(endpoint('d2', 'decode'), 'r2', 'decode')).toBeDefined()
    expect(one.checkAndCount(endpoint('d1', 'decode'), 'r3', 'decode')).toBeDefined()
  })

  it('allows a tenth of the limit, over all entries, for sends to an engine that the leader did not place', () => {
    const { limiter: one, clock } = createLimiter({ perSecond: 100, entries: 1 })
    clock.advance(SETTLED_MS)
    expect(tries(one, endpoint('d', 'decode'), 200)).toBeLessThanOrEqual(10)
  })
})

describe('the choice of an endpoint where some are cold', () => {
  const pooled = (setup: ReturnType<typeof createLimiter>, endpoints: RegisteredEndpoint[]) => {
    const pool = new EndpointPool({
      zone: 'z',
      clock: setup.clock,
      random: () => 0,
      logger: createSilentLogger(),
      isCold: (id) => setup.limiter.isCold(id),
    })
    pool.update(endpoints)
    return pool
  }
  const WORK = {
    request: 'r',
    service: 's',
    promptTokens: 100,
    mostTokens: 100,
    priority: 1,
    targetMs: 900,
    isReturn: false,
    promptMs: 150,
    holdMs: 600,
    leftMs: 10_000,
    className: 'c',
    except: new Set<string>(),
    isPrefilled: false,
  }

  it('prefers a warm engine, however busy; with only cold ones it uses its static share, then refuses with a backoff', async () => {
    const setup = createLimiter({ perSecond: 50, entries: 1 })
    const engines = ['d1', 'd2'].map((id) => endpoint(id, 'decode'))
    const pool = pooled(setup, engines)
    const placer = new LocalPlacer({ pool, kvTokens: () => 1_000_000, entries: () => 1, cold: setup.limiter })
    setup.clock.advance(SETTLED_MS)
    setup.warm.add('d1')
    for (let times = 0; times < 20; times += 1)
      expect(await placer.place(WORK)).toMatchObject({ place: { decode: { endpoint: { id: 'd1' } } } })
    setup.warm.delete('d1')
    let left = 0
    for (;;) {
      const answer = await placer.place(WORK)
      if (answer.type === 'refused') {
        expect(answer).toMatchObject({ reason: 'cold endpoints get no more now', retryAfterMs: START_MS })
        break
      }
      expect(setup.limiter.checkAndCount(answer.place.decode.endpoint, `r${left}`, 'decode')).toBeUndefined()
      left += 1
    }
    expect(left).toBeGreaterThan(0)
    // A tenth of the limit at each of two engines.
    expect(left).toBeLessThanOrEqual(10)
  })

  it('neither ejects a silent endpoint while it is cold nor averages its answers', () => {
    const setup = createLimiter()
    const pool = pooled(setup, [endpoint('c'), endpoint('w')])
    setup.warm.add('w')
    for (const id of ['c', 'w']) {
      for (let times = 0; times < 3; times += 1) {
        pool.recordSend(pool.get(id)!)
        setup.clock.advance(10)
        pool.recordEnd(pool.get(id)!, 'silent', 5)
      }
    }
    expect(pool.candidates('s').map((one) => one.endpoint.id)).toEqual(['c'])
    pool.recordSend(pool.get('c')!)
    const before = pool.get('c')!.meanMs
    pool.recordEnd(pool.get('c')!, 'ok', 5_000)
    expect(pool.get('c')!.meanMs).toBe(before)
  })
})

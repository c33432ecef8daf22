import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { ask, engine, createAllocator } from './fixtures'

const PAUSED = { promptTokens: 500, pauseMs: 300, hintTokens: 1_000, mostTokens: 2_000, leftMs: 20_000 }

/** Creates engines of two failure domains, of which any can be evacuated. */
function createDomains(endpoints?: RegisteredEndpoint[]) {
  const evacuated = new Set<string>()
  const both = endpoints ?? [
    engine('p1', 'prefill', { zone: 'a' }),
    engine('p2', 'prefill', { zone: 'b' }),
    engine('d1', 'decode', { zone: 'a' }),
    engine('d2', 'decode', { zone: 'b' }),
  ]
  return { evacuated, ...createAllocator(both, { isBarred: ({ zone }) => evacuated.has(zone) }) }
}

describe('Allocator, while a failure domain is evacuated', () => {
  it('neither prefills nor decodes there until the evacuation is withdrawn', () => {
    const { evacuated, allocator, place, decisions } = createDomains()
    evacuated.add('a')
    allocator.tick(0)
    for (const [turn, id] of ['r1', 'r2', 'r3'].entries()) place(ask(id, { promptTokens: 500 }), turn * 300)
    for (const id of ['r1', 'r2', 'r3'])
      expect(decisions.get(id)).toMatchObject({ type: 'placed', decode: 'd2' })
    expect(JSON.stringify([...decisions.values()])).not.toContain('p1')
    evacuated.clear()
    allocator.tick(1_000)
    place(ask('r4', { promptTokens: 500 }), 1_000)
    expect(decisions.get('r4')).toMatchObject({ decode: 'd1' })
  })

  it('refuses requests by the remaining capacity', () => {
    const { evacuated, allocator, place, decisions } = createDomains()
    evacuated.add('a')
    allocator.tick(0)
    place(ask('fills', { promptTokens: 7_000 }))
    place(ask('waits', { promptTokens: 7_000 }))
    allocator.tick(150)
    expect(decisions.get('waits')).toMatchObject({ type: 'refused', reason: 'no room in sight' })
  })

  it('refuses new and waiting requests at once if every failure domain is evacuated', () => {
    const { evacuated, allocator, place, decisions } = createDomains()
    for (const id of ['one', 'two', 'three']) place(ask(id, { promptTokens: 7_000 }))
    expect(decisions.has('three')).toBe(false)
    evacuated.add('a').add('b')
    allocator.tick(20)
    expect(decisions.get('three')).toMatchObject({ type: 'refused', retryAfterMs: expect.any(Number) })
    place(ask('four', { promptTokens: 500 }), 30)
    expect(decisions.get('four')).toMatchObject({ type: 'refused', reason: 'evacuated' })
  })

  it('lets running answers end there, and migrates none into it', () => {
    const { evacuated, allocator } = createDomains([
      engine('d0', 'decode', { zone: 'a' }),
      engine('d1', 'decode', { zone: 'b' }),
      engine('d2', 'decode', { zone: 'c' }),
    ])
    const report = (msPerToken: Record<string, number>, now: number) =>
      allocator.applyReport(
        'runner',
        Object.entries(msPerToken).map(([decode, ms]) => ({
          ask: ask(`at-${decode}`, { ...PAUSED, entry: 'runner' }),
          decode,
          ageMs: now + 900,
          decodingForMs: now + 800,
          madeTokens: Math.round((now + 800) / ms),
        })),
        now,
      )
    for (let now = 0; now <= 1_200; now += 400) report({ d0: 4, d1: 4, d2: 4 }, now)
    evacuated.add('a')
    allocator.tick(1_210)
    expect(allocator.planMigrations('runner', 1_210)).toEqual([])
    expect(allocator.holdCount).toBe(3)
    for (let now = 1_600; now <= 2_800; now += 400) report({ d0: 4, d1: 25, d2: 4 }, now)
    expect(allocator.planMigrations('runner', 2_810)).toEqual([{ request: 'at-d1', to: 'd2' }])
  })

  it('keeps the paces of engines there', () => {
    const { evacuated, allocator, place, decisions } = createDomains()
    const readAt = (request: string, now: number) => {
      place(ask(request, { promptTokens: 500 }), now)
      return (decisions.get(request) as { prefill: string }).prefill
    }
    const first = readAt('first', 0)
    allocator.recordPrefilled('first', 'ok', 800, 800)
    expect(allocator.summarize(ask('other'), 810).slow.map((one) => one.endpoint)).toEqual([first])
    evacuated.add(first === 'p1' ? 'a' : 'b')
    allocator.tick(820)
    evacuated.clear()
    allocator.tick(830)
    expect(allocator.summarize(ask('other'), 840).slow.map((one) => one.endpoint)).toEqual([first])
  })
})

describe('Allocator, when engines should change their stage while a failure domain is evacuated', () => {
  const CHANGE_MS = 6_000

  function createLoaded() {
    const one = createDomains([
      engine('p1', 'prefill', { zone: 'a' }),
      engine('d1', 'decode', { zone: 'b' }),
      engine('d2', 'decode', { zone: 'b' }),
      engine('d3', 'decode', { zone: 'a' }),
    ])
    const running = { ask: ask('seen'), decode: 'd1', ageMs: 900, decodingForMs: 800, madeTokens: 1_000 }
    one.allocator.applyReport('e9', [running], 0)
    one.allocator.removeEntry('e9')
    for (let index = 0; index < 200; index += 1) one.place(ask(`r${index}`, { holdMs: 1 }), index * 20)
    one.allocator.removeEntry('e1')
    return one
  }

  it('plans no change for a short evacuation, and then changes other engines', () => {
    const { evacuated, allocator } = createLoaded()
    expect(allocator.planStage('s', 4_000)?.stage).not.toBe('prefill')
    evacuated.add('a')
    allocator.tick(4_000)
    expect(allocator.planStage('s', 4_000 + CHANGE_MS - 1)).toBeUndefined()
    for (let now = 4_000; now <= 4_000 + CHANGE_MS; now += 25) allocator.tick(now)
    expect(allocator.planStage('s', 4_000 + CHANGE_MS)).toMatchObject({
      stage: 'prefill',
      id: expect.stringMatching(/^d[12]$/),
    })
  })

  it('orders no change of an evacuated engine', () => {
    const { evacuated, allocator } = createLoaded()
    evacuated.add('b')
    allocator.tick(4_000)
    expect(['d1', 'd2']).not.toContain(allocator.planStage('s', 4_100)?.id)
  })
})

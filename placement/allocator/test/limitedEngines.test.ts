import { describe, expect, it } from 'vitest'
import type { LimitPolicy, Placed } from '../src'
import { ask, ENGINE, engine, createAllocator } from './fixtures'

/** Creates a limit policy for engines that may still get a number of requests. */
function limits(left: Record<string, number>): LimitPolicy {
  return {
    isLimited: (id) => id in left,
    canSend: (id) => (left[id] ?? 1) > 0,
    spend: (id) => {
      if (!(id in left)) return false
      left[id]! -= 1
      return true
    },
  }
}

const small = { promptTokens: 100, mostTokens: 200, hintTokens: 100 }

describe('Allocator, with engines that name a rate limit', () => {
  it('counts each step on such an engine, and states how soon it must be sent', () => {
    const left = { p1: 1, d1: 1 }
    const { place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')], {
      limits: limits(left),
    })
    place(ask('r1', { ...small, promptTokens: 2_000 }))
    expect(decisions.get('r1')).toMatchObject({
      prefill: 'p1',
      decode: 'd1',
      limited: { waitedMs: 0, prefillMs: 250, decodeMs: 1_000 },
    })
    expect(left).toEqual({ p1: 0, d1: 0 })
  })

  it('states nothing for engines without a rate limit', () => {
    const { place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')], {
      limits: limits({}),
    })
    place(ask('r1', small))
    expect((decisions.get('r1') as Placed).limited).toBeUndefined()
  })

  it('uses other engines for prefill and decode while one is at its limit', () => {
    const engines = ['p1', 'p2', 'd1', 'd2'].map((id) =>
      engine(id, id.startsWith('p') ? 'prefill' : 'decode'),
    )
    const { place, decisions } = createAllocator(engines, { limits: limits({ p1: 0, d1: 0 }) })
    for (let index = 0; index < 6; index += 1) place(ask(`r${index}`, small))
    const placed = [...decisions.values()] as Placed[]
    expect(placed.length).toBeGreaterThan(0)
    expect(new Set(placed.map(({ decode }) => decode))).toEqual(new Set(['d2']))
    expect(placed.some(({ prefill }) => prefill === 'p1')).toBe(false)
  })

  it('queues a request until the rate limit allows it, and refuses it at the end of its time otherwise', () => {
    const left = { d1: 1 }
    const { allocator, place, decisions } = createAllocator(
      [engine('p1', 'prefill'), engine('d1', 'decode')],
      {
        limits: limits(left),
      },
    )
    const read = { ...small, isPrefilled: true }
    for (const request of ['r1', 'r2', 'r3']) place(ask(request, read))
    expect([...decisions.keys()]).toEqual(['r1'])
    left.d1 = 1
    allocator.tick(100)
    expect([...decisions.keys()]).toEqual(['r1', 'r2'])
    for (let now = 200; now <= 700; now += 25) allocator.tick(now)
    expect(decisions.get('r3')).toMatchObject({ type: 'refused' })
  })

  it('migrates no running answer to such an engine', () => {
    const engines = [engine('d1', 'decode'), engine('d2', 'decode')]
    const { allocator, place, decisions } = createAllocator(engines, {
      limits: limits({ d2: 5 }),
      engine: () => ENGINE,
    })
    place(ask('r1', { ...small, isPrefilled: true }))
    expect(decisions.get('r1')).toMatchObject({ decode: 'd1' })
    engines[0] = engine('d1', 'decode', { state: 'draining' })
    allocator.tick(100)
    expect(allocator.planMigrations('e1', 100)).toEqual([])
  })
})

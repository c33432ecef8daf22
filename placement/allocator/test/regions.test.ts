import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { isWithinRegions, Topology, type AllowedRegions } from '@forkstage/topology'
import { Allocator, type PlaceDecision } from '../src'
import { ask, engine, ENGINE } from './fixtures'

const TOPOLOGY = new Topology({ w1: 'west', w2: 'west', e1: 'east', e2: 'east', s1: 'south' })
const DOMAINS = ['w1', 'w2', 'e1', 'e2', 's1', 'unnamed']

function createAllocator(endpoints: RegisteredEndpoint[]) {
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => ENGINE, topology: TOPOLOGY })
  const decisions = new Map<string, PlaceDecision>()
  const place = (request: string, regions: AllowedRegions, now = 0, fields = {}) =>
    allocator.ask(ask(request, { regions, ...fields }), now, (decision) => decisions.set(request, decision))
  return { allocator, decisions, place }
}

describe('the regions of a request', () => {
  it('bind the prefill engine and the decode engine', () => {
    const { place, decisions } = createAllocator([
      engine('pw', 'prefill', { zone: 'w1' }),
      engine('dw', 'decode', { zone: 'w2' }),
      engine('pe', 'prefill', { zone: 'e1' }),
      engine('de', 'decode', { zone: 'e1' }),
    ])
    for (const request of ['a', 'b']) place(request, ['east'])
    expect([...decisions.values()]).toMatchObject([
      { prefill: 'pe', decode: 'de' },
      { prefill: 'pe', decode: 'de' },
    ])
  })

  it('leave the prefill to the decode engine if no prefill engine is within them', () => {
    const { place, decisions } = createAllocator([
      engine('pw', 'prefill', { zone: 'w1' }),
      engine('de', 'decode', { zone: 'e1' }),
    ])
    place('a', ['east'])
    expect(decisions.get('a')).toEqual({ type: 'placed', decode: 'de' })
  })

  it('cause a refusal at once if no decode engine is within them', () => {
    const { place, decisions } = createAllocator([engine('dw', 'decode', { zone: 'w1' })])
    for (const [request, regions] of [
      ['a', ['east']],
      ['b', []],
      ['c', ['nowhere']],
    ] as const)
      place(request, regions)
    for (const decision of decisions.values()) expect(decision).toMatchObject({ type: 'refused' })
    expect(decisions.size).toBe(3)
  })

  it('bind prefill engines, decode engines and migrations whatever happens', () => {
    const endpoint = fc.record({
      stage: fc.constantFrom('prefill', 'decode'),
      zone: fc.constantFrom(...DOMAINS),
    })
    const regions = fc.option(fc.subarray(['west', 'east', 'south', 'nowhere']), { nil: undefined })
    const request = fc.record({
      regions,
      promptTokens: fc.integer({ min: 1, max: 6_000 }),
      isPrefilled: fc.boolean(),
    })
    const event = fc.oneof(
      fc.record({ type: fc.constant('fails'), index: fc.nat(20) }),
      fc.record({ type: fc.constant('drains'), index: fc.nat(20) }),
      fc.record({ type: fc.constant('ends'), index: fc.nat(20) }),
    )
    let placed = 0
    let moved = 0
    fc.assert(
      fc.property(
        fc.array(endpoint, { minLength: 2, maxLength: 14 }),
        fc.array(fc.tuple(request, event), { minLength: 1, maxLength: 20 }),
        (fields, steps) => {
          const all = fields.map(({ stage, zone }, index) => engine(`i${index}`, stage, { zone }))
          const zoneOf = (id: string) => all.find((one) => one.id === id)!.zone
          const { allocator, decisions, place } = createAllocator(all)
          const regionsOf = new Map<string, AllowedRegions>()
          const expectInRegions = (name: string, id: string | undefined) => {
            if (id !== undefined)
              expect(isWithinRegions(TOPOLOGY, zoneOf(id), regionsOf.get(name))).toBe(true)
          }
          let now = 0
          for (const [{ regions, ...rest }, { type, index }] of steps) {
            now += 100
            const name = `r${now}`
            regionsOf.set(name, regions)
            place(name, regions, now, rest)
            const one = all[index % all.length]!
            if (type === 'fails') allocator.recordUse(one.id, 'unreachable', now)
            if (type === 'drains') one.state = one.state === 'ready' ? 'draining' : 'ready'
            if (type === 'ends') allocator.release(`r${(1 + (index % (now / 100))) * 100}`, 'ok', 50, now)
            allocator.tick(now)
            const running = [...decisions].flatMap(([request, decision]) =>
              decision.type === 'placed' ? [{ request, decision }] : [],
            )
            placed += running.length
            for (const { request, decision } of running) {
              expectInRegions(request, decision.prefill)
              expectInRegions(request, decision.decode)
              const reported = {
                ask: ask(request, { regions: regionsOf.get(request) }),
                decode: decision.decode,
              }
              allocator.applyReport(
                'e1',
                [{ ...reported, ageMs: 500, decodingForMs: 400, madeTokens: 20 }],
                now,
              )
              for (const move of allocator.planMigrations('e1', now)) {
                moved += 1
                expectInRegions(move.request, move.to)
              }
            }
          }
        },
      ),
      { seed: 20261202, numRuns: 300 },
    )
    // Otherwise the property was not exercised.
    expect(placed).toBeGreaterThan(1_000)
    expect(moved).toBeGreaterThan(20)
  })
})

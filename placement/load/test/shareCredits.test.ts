import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { shareFor, targetShares, type Demand, type Grant } from '../src'

const demand = (inFlight: number, waiting = 0): Demand => ({ inFlight, waiting })

describe('targetShares', () => {
  it('meets every need while it can, and keeps a reserve of what is left', () => {
    const shares = targetShares(
      48,
      new Map([
        ['a', demand(10, 4)],
        ['b', demand(2)],
        ['c', demand(0)],
      ]),
    )
    expect(shares.get('a')).toBeGreaterThanOrEqual(14)
    expect(shares.get('c')).toBeGreaterThan(0)
    expect([...shares.values()].reduce((sum, each) => sum + each, 0)).toBeLessThan(48)
  })

  it('divides a limit that is too small evenly, down to one each', () => {
    const shares = targetShares(
      6,
      new Map([
        ['a', demand(20)],
        ['b', demand(20)],
        ['c', demand(1)],
      ]),
    )
    expect([shares.get('a'), shares.get('b'), shares.get('c')]).toEqual([3, 2, 1])
  })
})

describe('shareFor', () => {
  it('never grants more than the limit over all unexpired grants, in any order of requests', () => {
    const ask = fc.tuple(fc.constantFrom('a', 'b', 'c', 'd'), fc.nat(30), fc.nat(10), fc.nat(900))
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 60 }), fc.array(ask, { maxLength: 80 }), (limit, asks) => {
        const demands = new Map<string, Demand>()
        const grants = new Map<string, Grant>()
        let now = 0
        for (const [box, inFlight, waiting, pause] of asks) {
          now += pause
          demands.set(box, demand(inFlight, waiting))
          grants.set(box, { share: shareFor(box, limit, demands, grants, now), until: now + 2_500 })
          const granted = [...grants.values()]
            .filter((grant) => grant.until > now)
            .reduce((sum, grant) => sum + grant.share, 0)
          expect(granted).toBeLessThanOrEqual(limit)
        }
      }),
      { seed: 5, numRuns: 300 },
    )
  })
})

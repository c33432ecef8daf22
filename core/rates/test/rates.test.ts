import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { DecayingSum, WindowSum } from '../src'

const WINDOW_MS = 8_000
/** Amounts older than the window may still count for the duration of one slot. */
const SLOT_MS = WINDOW_MS / 64

describe('WindowSum', () => {
  it('counts amounts within the window, and none that is older by a slot', () => {
    const sum = new WindowSum(WINDOW_MS)
    sum.add(5, 1_000)
    sum.add(7, 4_000)
    expect(sum.total(1_000 + WINDOW_MS)).toBe(12)
    expect(sum.total(1_000 + WINDOW_MS + SLOT_MS)).toBe(7)
    expect(sum.total(4_000 + WINDOW_MS + SLOT_MS)).toBe(0)
  })

  it('subtracts a negative amount', () => {
    const sum = new WindowSum(WINDOW_MS)
    sum.add(5, 0)
    sum.add(-5, 3_000)
    expect(sum.total(3_000)).toBe(0)
  })

  it('scales all amounts, which expire as before', () => {
    const sum = new WindowSum(WINDOW_MS)
    sum.add(8, 0)
    sum.scale(0.25)
    sum.add(1, 4_000)
    expect(sum.total(4_000)).toBe(3)
    expect(sum.total(WINDOW_MS + SLOT_MS)).toBe(1)
  })

  it('is never below the sum of the window, and above it by at most one slot', () => {
    const amounts = fc.array(fc.tuple(fc.integer({ min: 0, max: 900 }), fc.integer({ min: 1, max: 9 })))
    fc.assert(
      fc.property(amounts, (steps) => {
        const sum = new WindowSum(WINDOW_MS)
        const added: [number, number][] = []
        let now = 0
        for (const [passed, amount] of steps) {
          now += passed
          sum.add(amount, now)
          added.push([now, amount])
        }
        const since = (at: number) => added.reduce((total, [time, one]) => total + (time > at ? one : 0), 0)
        expect(sum.total(now)).toBeGreaterThanOrEqual(since(now - WINDOW_MS))
        expect(sum.total(now)).toBeLessThanOrEqual(since(now - WINDOW_MS - SLOT_MS - 1))
      }),
    )
  })
})

describe('DecayingSum', () => {
  it('counts an amount for 1/e after the time constant', () => {
    const sum = new DecayingSum(1_000)
    sum.add(9, 0)
    expect(sum.total(1_000)).toBeCloseTo(9 / Math.E)
  })
})

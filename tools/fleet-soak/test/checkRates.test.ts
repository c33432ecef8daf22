import { describe, expect, it } from 'vitest'
import { checkRates } from '../src/checkRates'
import type { CallRecord } from '../src/soakCallers'

const call = (id: string, entry: string, at: number, isWhole = true) =>
  ({ id, entry, startedAt: at, endedAt: at + 10, isWhole }) as CallRecord

/** Returns arrivals spread evenly over a span, each with a separate call at an entry. */
function spreadArrivals(count: number, from: number, until: number, entry = 'e1') {
  const at = (index: number) => from + ((until - from) * index) / count
  const ids = Array.from({ length: count }, (_, index) => `${entry}-${from}-${index}`)
  return {
    arrivals: ids.map((request, index) => ({ endpoint: 'i-1', request, at: at(index) })),
    calls: ids.map((id, index) => call(id, entry, at(index))),
  }
}

const NO_OUTAGES = new Map()

describe('checkRates', () => {
  it('accepts as many arrivals as allowed and reports one more', () => {
    const first = spreadArrivals(1, 0, 1)
    const all = (count: number) => {
      const rest = spreadArrivals(count, 5_000, 8_900)
      return checkRates([...first.arrivals, ...rest.arrivals], [...first.calls, ...rest.calls], NO_OUTAGES)
    }
    expect(all(23)).toEqual([])
    expect(all(24)).toEqual([expect.stringContaining('got 24 in 4 s, 23 allowed')])
  })

  it('counts the arrivals from all informed entries together and ignores uninformed ones', () => {
    const informed = [spreadArrivals(1, 0, 1, 'e1'), spreadArrivals(1, 0, 1, 'e2')]
    const bursts = [spreadArrivals(12, 5_000, 8_900, 'e1'), spreadArrivals(12, 5_000, 8_900, 'e2')]
    const check = (loads: ReturnType<typeof spreadArrivals>[]) =>
      checkRates(
        loads.flatMap(({ arrivals }) => arrivals),
        loads.flatMap(({ calls }) => calls),
        NO_OUTAGES,
      )
    expect(check([...informed, ...bursts])).toHaveLength(1)
    // The second entry learns the rate only during its burst.
    expect(check([informed[0]!, ...bursts])).toEqual([])
  })

  it('exempts an entry after an outage until it is informed again', () => {
    const first = spreadArrivals(1, 0, 1)
    const rest = spreadArrivals(30, 5_000, 8_900)
    const away = new Map([['e1', [{ from: 4_000, to: 4_800 }]]])
    const check = (spans: typeof away) =>
      checkRates([...first.arrivals, ...rest.arrivals], [...first.calls, ...rest.calls], spans)
    expect(check(away)).toEqual([])
    expect(check(new Map())).toHaveLength(1)
  })

  it('ignores the first seconds after the rate was advertised', () => {
    const burst = spreadArrivals(60, 0, 2_900)
    expect(checkRates(burst.arrivals, burst.calls, NO_OUTAGES)).toEqual([])
  })
})

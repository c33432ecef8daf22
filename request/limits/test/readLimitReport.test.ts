import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { readLimitReport } from '../src'

const row = { word: { perSecond: 3.5, ageMs: 12.5 }, wanted: 2, returned: 0 }

describe('readLimitReport', () => {
  it('reads the reports of entries, including withdrawn rates', () => {
    const endpoints = { a: row, b: { ...row, word: { perSecond: null, ageMs: 0 } } }
    expect(readLimitReport({ entry: 'e', endpoints })).toEqual({ entry: 'e', endpoints })
  })

  it.each([
    { ...row, wanted: -1 },
    { ...row, returned: 1.5 },
    { ...row, wanted: Infinity },
    { ...row, word: { perSecond: -3, ageMs: 0 } },
    { ...row, word: { perSecond: NaN, ageMs: 0 } },
    { ...row, word: { perSecond: 3, ageMs: -1 } },
    { ...row, word: {} },
    {},
    null,
  ])('skips an endpoint with invalid data: %j', (bad) => {
    expect(readLimitReport({ entry: 'e', endpoints: { a: row, b: bad } })?.endpoints).toEqual({ a: row })
  })

  it('never throws, and returns no negative count, rate or age', () => {
    fc.assert(
      fc.property(fc.anything(), fc.anything(), (one, other) => {
        for (const raw of [
          one,
          { entry: 'e', endpoints: { a: one, b: { word: other, wanted: 1, returned: 0 } } },
        ]) {
          for (const endpoint of Object.values(readLimitReport(raw)?.endpoints ?? {})) {
            expect(
              Math.min(endpoint.wanted, endpoint.returned, endpoint.word.perSecond ?? 0, endpoint.word.ageMs),
            ).toBeGreaterThanOrEqual(0)
          }
        }
      }),
      { seed: 40, numRuns: 500 },
    )
  })
})

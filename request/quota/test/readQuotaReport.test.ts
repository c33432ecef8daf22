import fc from 'fast-check'
import { expect, it } from 'vitest'
import { readQuotaReport } from '../src'

const GOOD = { life: 'l1', recent: 5, askedPerSecond: 1, demandPerSecond: 2 }

it('returns a valid report unchanged', () => {
  const report = { entry: 'e1', spent: { w: GOOD } }
  expect(readQuotaReport(report)).toEqual(report)
})

it('never throws, and leaves out only the workspace whose row is malformed', () => {
  fc.assert(
    fc.property(fc.anything(), fc.constantFrom(...Object.keys(GOOD)), (any, field) => {
      readQuotaReport(any)
      readQuotaReport({ entry: 'e1', spent: any })
      const read = readQuotaReport({ entry: 'e1', spent: { w: GOOD, bad: { ...GOOD, [field]: any } } })
      expect(read?.spent.w).toEqual(GOOD)
      const bad = read?.spent.bad
      expect(bad === undefined || Number.isFinite(bad.recent)).toBe(true)
    }),
    { seed: 9, numRuns: 500 },
  )
})

it.each([{ askedPerSecond: NaN }, { demandPerSecond: Infinity }, { life: '' }])('omits %j', (fields) => {
  expect(readQuotaReport({ entry: 'e1', spent: { w: { ...GOOD, ...fields } } })?.spent).toEqual({})
})

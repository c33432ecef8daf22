import fc from 'fast-check'
import { expect, it } from 'vitest'
import { readQuotaReport } from '../src'

const GOOD = { life: 'l1', recent: 5, askedPerSecond: 1, demandPerSecond: 2 }

it('takes a report as it was sent where nothing is wrong with it', () => {
  const report = { entry: 'e1', spent: { w: GOOD } }
  expect(readQuotaReport(report)).toEqual(report)
})

it('throws at nothing, and leaves out no workspace but the one of which nothing can be read', () => {
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

it.each([{ askedPerSecond: NaN }, { demandPerSecond: Infinity }, { life: '' }])('takes no %j', (fields) => {
  expect(readQuotaReport({ entry: 'e1', spent: { w: { ...GOOD, ...fields } } })?.spent).toEqual({})
})

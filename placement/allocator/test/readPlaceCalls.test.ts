import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MalformedPlaceCallError, readPlaceAsk, readPlaceReport } from '../src/readPlaceCalls'
import { ask } from './fixtures'

const hold = (request: string) => ({ ask: ask(request), decode: 'd0', ageMs: 5 })
const asSent = (value: unknown): unknown => JSON.parse(JSON.stringify(value))

/** A valid object with one field replaced by an arbitrary value. */
function withOneFieldReplaced(good: object): fc.Arbitrary<{ field: string; value: unknown }> {
  return fc.record({ field: fc.constantFrom(...Object.keys(good)), value: fc.anything() })
}

describe('calls of entries', () => {
  it('are read as they were sent if they are valid', () => {
    const full = { ...ask('a'), patienceMs: 3, pauseMs: 300, isBegun: true, parts: [{ id: 'p', tokens: 3 }] }
    expect(readPlaceAsk(asSent({ ask: full }))).toEqual(asSent(full))
    const { entry } = ask('a')
    const report = { entry, holds: [{ ...hold('a'), prefill: 'p0', decodingForMs: 3, madeTokens: 2 }] }
    expect(readPlaceReport(asSent(report))).toEqual({ ...(asSent(report) as object), malformed: 0 })
  })

  it('are read completely or raise MalformedPlaceCallError, whatever they contain', () => {
    fc.assert(
      fc.property(fc.anything(), withOneFieldReplaced(ask('a')), (any, { field, value }) => {
        for (const raw of [any, { ask: any }, { ask: { ...ask('a'), [field]: value } }]) {
          try {
            const read = readPlaceAsk(raw)
            expect(typeof read.request).toBe('string')
            expect(Number.isFinite(read.promptTokens)).toBe(true)
          } catch (error) {
            expect(error).toBeInstanceOf(MalformedPlaceCallError)
          }
        }
      }),
      { seed: 7, numRuns: 300 },
    )
  })

  it('keep every other hold if one row is malformed', () => {
    const { entry } = ask('a')
    fc.assert(
      fc.property(withOneFieldReplaced(hold('b')), fc.nat(2), ({ field, value }, at) => {
        const rows: unknown[] = [hold('a'), hold('c')]
        rows.splice(at, 0, { ...hold('b'), [field]: value })
        const read = readPlaceReport({ entry, holds: rows })
        const names = read.holds.map((one) => one.ask.request)
        expect(names).toEqual(expect.arrayContaining(['a', 'c']))
        expect(read.holds.length + read.malformed).toBe(3)
      }),
      { seed: 8, numRuns: 300 },
    )
  })

  it('leave out holds of another entry', () => {
    const other = { ...hold('x'), ask: { ...ask('x'), entry: 'another' } }
    expect(readPlaceReport({ entry: ask('a').entry, holds: [other] })).toMatchObject({
      holds: [],
      malformed: 1,
    })
  })
})

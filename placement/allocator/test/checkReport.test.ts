import { describe, expect, it } from 'vitest'
import { checkReport } from '../src/checkReport'
import { ask } from './fixtures'

const GOOD = { ask: ask('a'), decode: 'd', ageMs: 900, decodingForMs: 800, madeTokens: 300 }

describe('checkReport', () => {
  it('accepts a report that an entry can make', () => {
    expect(checkReport(GOOD)).toBeUndefined()
    expect(checkReport({ ...GOOD, decodingForMs: undefined, madeTokens: undefined })).toBeUndefined()
  })

  it.each([
    ['a negative age', { ageMs: -1 }],
    ['an age that is not a number', { ageMs: NaN }],
    ['a negative decoding time', { decodingForMs: -5 }],
    ['decoding that began before the placement', { decodingForMs: 2_000 }],
    ['a negative count', { madeTokens: -1 }],
    ['an infinite count', { madeTokens: Infinity }],
    ['far more tokens than requested', { madeTokens: 1_000_000 }],
  ])('refuses %s', (_what, fields) => {
    expect(checkReport({ ...GOOD, ...fields })).toEqual(expect.any(String))
  })
})

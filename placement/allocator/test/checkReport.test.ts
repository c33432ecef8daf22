import { describe, expect, it } from 'vitest'
import { checkReport } from '../src/checkReport'
import { ask } from './fixtures'

const GOOD = { ask: ask('a'), decode: 'd', ageMs: 900, decodingForMs: 800, madeTokens: 300 }

describe('whyNoReport', () => {
  it('finds nothing wrong with what an entry can see', () => {
    expect(checkReport(GOOD)).toBeUndefined()
    expect(checkReport({ ...GOOD, decodingForMs: undefined, madeTokens: undefined })).toBeUndefined()
  })

  it.each([
    ['an age that lies ahead', { ageMs: -1 }],
    ['an age that is none', { ageMs: NaN }],
    ['decoding that begins ahead', { decodingForMs: -5 }],
    ['decoding that began before the place was given', { decodingForMs: 2_000 }],
    ['a negative count', { madeTokens: -1 }],
    ['a count without end', { madeTokens: Infinity }],
    ['far more tokens than were asked for', { madeTokens: 1_000_000 }],
  ])('refuses %s', (_what, fields) => {
    expect(checkReport({ ...GOOD, ...fields })).toEqual(expect.any(String))
  })
})

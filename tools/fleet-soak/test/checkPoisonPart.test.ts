import { describe, expect, it } from 'vitest'
import { checkPoisonPart } from '../src/checkPoisonPart'

const FIVE = [0, 1, 2, 3, 4]

describe('checkPoisonPart', () => {
  it.each([
    ['five crashes', FIVE],
    ['arrivals in flight', [...FIVE, 500, 1_000, 2_900, 3_000, 3_004]],
    ['three later arrivals', [...FIVE, 4_000, 5_000, 6_000]],
  ])('accepts %s', (_name, at) => expect(checkPoisonPart({ at })).toEqual([]))

  it('reports a fourth later arrival', () => {
    expect(checkPoisonPart({ at: [...FIVE, 4_000, 5_000, 6_000, 7_000] })).toEqual([
      expect.stringContaining('4 more'),
    ])
  })
})

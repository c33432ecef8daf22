import { describe, expect, it } from 'vitest'
import { checkPoisonRequest } from '../src/checkPoisonRequest'

const at = (...times: number[]) => ({ at: times })

describe('checkFatal', () => {
  it.each([
    ['two ends', at(0, 1)],
    ['what was on its way', at(0, 1, 2, 500, 1_000, 2_900, 3_000, 3_001)],
    ['three more', at(0, 1, 2, 4_000, 5_000, 6_000)],
  ])('holds with %s', (_name, arrivals) => expect(checkPoisonRequest(arrivals)).toEqual([]))

  it('does not hold with a fourth that comes later', () => {
    expect(checkPoisonRequest(at(0, 1, 2, 4_000, 5_000, 6_000, 7_000))).toEqual([
      expect.stringContaining('4 more'),
    ])
  })
})

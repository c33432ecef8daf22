import { describe, expect, it } from 'vitest'
import { checkPoisonRequest } from '../src/checkPoisonRequest'

const at = (...times: number[]) => ({ at: times })

describe('checkPoisonRequest', () => {
  it.each([
    ['two crashes', at(0, 1)],
    ['arrivals in flight', at(0, 1, 2, 500, 1_000, 2_900, 3_000, 3_001)],
    ['three later arrivals', at(0, 1, 2, 4_000, 5_000, 6_000)],
  ])('accepts %s', (_name, arrivals) => expect(checkPoisonRequest(arrivals)).toEqual([]))

  it('reports a fourth later arrival', () => {
    expect(checkPoisonRequest(at(0, 1, 2, 4_000, 5_000, 6_000, 7_000))).toEqual([
      expect.stringContaining('4 more'),
    ])
  })
})

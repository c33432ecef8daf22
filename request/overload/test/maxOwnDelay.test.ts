import { describe, expect, it } from 'vitest'
import { maxOwnDelay } from '../src'

describe('maxOwnDelay', () => {
  it.each([
    ['no routes', undefined, 15],
    ['a target that leaves little time', 60, 15],
    ['a target of some hundred milliseconds', 386, 38.6],
    ['a long target', 5_000, 100],
  ])('of %s', (_what, targetMs, expected) => {
    expect(maxOwnDelay(targetMs)).toBeCloseTo(expected)
  })
})

import { describe, expect, it } from 'vitest'
import { ConcurrencyLimit } from '../src/concurrencyLimit'

describe('ConcurrencyLimit', () => {
  it('grows while answers are well in time, up to a bound', () => {
    const limit = new ConcurrencyLimit(4)
    for (let index = 0; index < 200; index += 1) limit.recordAnswer(10, 300)
    expect(limit.value).toBe(8)
  })

  it('shrinks when answers come late or are refused, and never below one', () => {
    const limit = new ConcurrencyLimit(4)
    limit.recordFull()
    expect(limit.value).toBe(3)
    for (let index = 0; index < 200; index += 1) limit.recordAnswer(290, 300)
    expect(limit.value).toBe(1)
  })

  it('stays where answers are just in time', () => {
    const limit = new ConcurrencyLimit(4)
    limit.recordAnswer(180, 300)
    expect(limit.value).toBe(4)
  })
})

import { describe, expect, it } from 'vitest'
import { ConcurrencyLimit } from '../src/concurrencyLimit'

describe('ConcurrencyLimit', () => {
  it('rises while answers are well within their target, up to a maximum', () => {
    const limit = new ConcurrencyLimit(4)
    for (let index = 0; index < 200; index += 1) limit.recordAnswer(10, 300)
    expect(limit.value).toBe(8)
  })

  it('falls when answers are late or requests are refused, but never below one', () => {
    const limit = new ConcurrencyLimit(4)
    limit.recordFull()
    expect(limit.value).toBe(3)
    for (let index = 0; index < 200; index += 1) limit.recordAnswer(290, 300)
    expect(limit.value).toBe(1)
  })

  it('does not change while answers are just within their target', () => {
    const limit = new ConcurrencyLimit(4)
    limit.recordAnswer(180, 300)
    expect(limit.value).toBe(4)
  })
})

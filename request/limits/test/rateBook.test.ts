import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { RateBook } from '../src'

function book() {
  const clock = new ManualClock(1_000)
  const lines: { outcome: string }[] = []
  const logger = {
    ...createSilentLogger(),
    info: (_: string, line: object) => void lines.push(line as never),
  }
  return { clock, book: new RateBook({ clock, logger }), outcomes: () => lines.map(({ outcome }) => outcome) }
}

describe('RateBook', () => {
  it('believes what an endpoint named last, until an answer names none', () => {
    const { book: one, outcomes } = book()
    one.note('a', undefined)
    expect(one.spoken).toEqual([])
    one.note('a', 3.2)
    one.note('a', 3.3)
    one.note('a', 8)
    expect(one.rateOf('a')).toBe(8)
    one.note('a', undefined)
    expect(one.rateOf('a')).toBeUndefined()
    expect(outcomes()).toEqual(['named', 'changed', 'withdrawn'])
  })

  it('takes a rate of 0 for one', () => {
    const { book: one } = book()
    one.note('a', 0)
    expect(one.rateOf('a')).toBe(0)
  })

  it('takes the newer of two words, whoever heard it', () => {
    const { book: one, clock } = book()
    one.note('a', 4)
    clock.advance(500)
    one.take('a', { perSecond: 9, ageMs: 600 })
    expect(one.rateOf('a')).toBe(4)
    one.take('a', { perSecond: 9, ageMs: 100 })
    expect(one.rateOf('a')).toBe(9)
    one.take('a', { perSecond: null, ageMs: 0 })
    expect(one.rateOf('a')).toBeUndefined()
    // That it was taken back is passed on, with its age.
    clock.advance(200)
    expect(one.spoken).toEqual(['a'])
    expect(one.wordOf('a')).toEqual({ perSecond: null, ageMs: 200 })
  })

  it('keeps what an endpoint named for as long as it is registered, and tries one that takes nothing now and then', () => {
    const { book: one, clock } = book()
    one.note('a', 0)
    one.note('b', 4)
    clock.advance(29_000)
    expect(one.rateOf('a')).toBe(0)
    one.take('a', { perSecond: 0, ageMs: 10 })
    clock.advance(29_000)
    expect(one.rateOf('a')).toBe(0)
    clock.advance(1_000)
    // One request in 30 s, and nothing more for one that takes some.
    expect(one.rateOf('a')).toBeCloseTo(1 / 30)
    expect(one.rateOf('b')).toBe(4)
    clock.advance(3_600_000)
    one.keepOnly((id) => id === 'b')
    expect(one.spoken).toEqual(['b'])
  })

  it('passes on for a while that a rate was taken back, and then forgets it', () => {
    const { book: one, clock } = book()
    one.note('a', 4)
    one.note('a', undefined)
    clock.advance(29_999)
    one.keepOnly(() => true)
    expect(one.spoken).toEqual(['a'])
    clock.advance(1)
    one.keepOnly(() => true)
    expect(one.spoken).toEqual([])
  })
})

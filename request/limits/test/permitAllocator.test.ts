import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { PermitAllocator, RateTable } from '../src'

function newAllocator() {
  const clock = new ManualClock(10_000)
  const term = { value: 1 }
  const rates = new RateTable({ clock, logger: createSilentLogger() })
  const allocator = new PermitAllocator({ clock, rates, term: () => term.value })
  const ask = (wanted: number, returned = 0, perSecond: number | null = 4) =>
    allocator.allocate({ entry: 'e', endpoints: { a: { word: { perSecond, ageMs: 0 }, wanted, returned } } })
      .grants!['a']!.permits
  return { clock, term, allocator, ask }
}

describe('PermitAllocator', () => {
  it('grants what the rate has filled since it was advertised, in whole requests', () => {
    const { clock, ask } = newAllocator()
    expect(ask(9)).toBe(0)
    clock.advance(249)
    expect(ask(9)).toBe(0)
    clock.advance(1)
    expect(ask(9)).toBe(1)
    clock.advance(500)
    expect(ask(1)).toBe(1)
    expect(ask(9)).toBe(1)
  })

  it('caps a bucket at 0.75 s of its rate, and at no less than one request', () => {
    const { clock, ask } = newAllocator()
    ask(0)
    clock.advance(60_000)
    expect(ask(99)).toBe(3)
    ask(0, 0, 0.01)
    clock.advance(200_000)
    expect(ask(99, 0, 0.01)).toBe(1)
  })

  it('can grant returned permits again', () => {
    const { clock, ask } = newAllocator()
    ask(0)
    clock.advance(500)
    expect(ask(2)).toBe(2)
    expect(ask(2)).toBe(0)
    expect(ask(2, 1)).toBe(1)
    // Returning more permits than were granted gains nothing.
    expect(ask(99, 50)).toBe(3)
  })

  it('counts requests placed by this machine as well as those sent by entries', () => {
    const { clock, allocator, ask } = newAllocator()
    expect(allocator.canSend('a')).toBe(true)
    expect(allocator.spend('a')).toBe(false)
    ask(0)
    expect(allocator.canSend('a')).toBe(false)
    clock.advance(250)
    expect(allocator.canSend('a')).toBe(true)
    expect(allocator.spend('a')).toBe(true)
    expect(ask(9)).toBe(0)
    expect(allocator.canSend('a')).toBe(false)
  })

  it('starts a term with empty buckets: the previous leader may have granted everything', () => {
    const { clock, term, ask } = newAllocator()
    ask(0)
    clock.advance(60_000)
    term.value = 2
    expect(ask(9)).toBe(0)
  })

  it('grants nothing at a rate of 0, and applies the withdrawal of a rate', () => {
    const { clock, allocator, ask } = newAllocator()
    ask(0)
    clock.advance(1_000)
    expect(ask(9, 0, 0)).toBe(0)
    clock.advance(1_000)
    expect(ask(9, 0, null)).toBe(0)
    expect(allocator.isLimited('a')).toBe(false)
    expect(allocator.canSend('a')).toBe(true)
  })
})

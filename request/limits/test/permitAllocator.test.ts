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
  it('permits what the rate has filled since it was named, whole requests only', () => {
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

  it('keeps no more than three quarters of a second fill, and one at least', () => {
    const { clock, ask } = newAllocator()
    ask(0)
    clock.advance(60_000)
    expect(ask(99)).toBe(3)
    ask(0, 0, 0.01)
    clock.advance(200_000)
    expect(ask(99, 0, 0.01)).toBe(1)
  })

  it('has those again that an entry gives back unused', () => {
    const { clock, ask } = newAllocator()
    ask(0)
    clock.advance(500)
    expect(ask(2)).toBe(2)
    expect(ask(2)).toBe(0)
    expect(ask(2, 1)).toBe(1)
    // One that gives back more than there can be gains nothing by it.
    expect(ask(99, 50)).toBe(3)
  })

  it('counts requests that are placed here beside those that entries send', () => {
    const { clock, allocator, ask } = newAllocator()
    expect(allocator.mayTake('a')).toBe(true)
    expect(allocator.spend('a')).toBe(false)
    ask(0)
    expect(allocator.mayTake('a')).toBe(false)
    clock.advance(250)
    expect(allocator.mayTake('a')).toBe(true)
    expect(allocator.spend('a')).toBe(true)
    expect(ask(9)).toBe(0)
    expect(allocator.mayTake('a')).toBe(false)
  })

  it('begins a term with nothing to permit: the leader before it may have permitted all', () => {
    const { clock, term, ask } = newAllocator()
    ask(0)
    clock.advance(60_000)
    term.value = 2
    expect(ask(9)).toBe(0)
  })

  it('permits nothing where none is taken, and passes on that a rate was taken back', () => {
    const { clock, allocator, ask } = newAllocator()
    ask(0)
    clock.advance(1_000)
    expect(ask(9, 0, 0)).toBe(0)
    clock.advance(1_000)
    expect(ask(9, 0, null)).toBe(0)
    expect(allocator.isLimited('a')).toBe(false)
    expect(allocator.mayTake('a')).toBe(true)
  })
})

import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { RateTable } from '../src'

function newTable() {
  const clock = new ManualClock(1_000)
  const lines: { outcome: string }[] = []
  const logger = {
    ...createSilentLogger(),
    info: (_: string, line: object) => void lines.push(line as never),
  }
  return {
    clock,
    table: new RateTable({ clock, logger }),
    outcomes: () => lines.map(({ outcome }) => outcome),
  }
}

describe('RateTable', () => {
  it('keeps the last advertised rate until a response advertises none', () => {
    const { table, outcomes } = newTable()
    table.recordAnswer('a', undefined)
    expect(table.knownEndpoints).toEqual([])
    table.recordAnswer('a', 3.2)
    table.recordAnswer('a', 3.3)
    table.recordAnswer('a', 8)
    expect(table.rateOf('a')).toBe(8)
    table.recordAnswer('a', undefined)
    expect(table.rateOf('a')).toBeUndefined()
    expect(outcomes()).toEqual(['named', 'changed', 'withdrawn'])
  })

  it('accepts a rate of 0', () => {
    const { table } = newTable()
    table.recordAnswer('a', 0)
    expect(table.rateOf('a')).toBe(0)
  })

  it('keeps the newer of two values, whichever machine received it', () => {
    const { table, clock } = newTable()
    table.recordAnswer('a', 4)
    clock.advance(500)
    table.merge('a', { perSecond: 9, ageMs: 600 })
    expect(table.rateOf('a')).toBe(4)
    table.merge('a', { perSecond: 9, ageMs: 100 })
    expect(table.rateOf('a')).toBe(9)
    table.merge('a', { perSecond: null, ageMs: 0 })
    expect(table.rateOf('a')).toBeUndefined()
    // The withdrawal is still reported, with its age.
    clock.advance(200)
    expect(table.knownEndpoints).toEqual(['a'])
    expect(table.advertisedRateOf('a')).toEqual({ perSecond: null, ageMs: 200 })
  })

  it('keeps a rate while the endpoint is registered, and probes an endpoint with a rate of 0 periodically', () => {
    const { table, clock } = newTable()
    table.recordAnswer('a', 0)
    table.recordAnswer('b', 4)
    clock.advance(29_000)
    expect(table.rateOf('a')).toBe(0)
    table.merge('a', { perSecond: 0, ageMs: 10 })
    clock.advance(29_000)
    expect(table.rateOf('a')).toBe(0)
    clock.advance(1_000)
    // One request in 30 s; an endpoint with a rate above 0 gets no more than its rate.
    expect(table.rateOf('a')).toBeCloseTo(1 / 30)
    expect(table.rateOf('b')).toBe(4)
    clock.advance(3_600_000)
    table.sweep((id) => id === 'b')
    expect(table.knownEndpoints).toEqual(['b'])
  })

  it('keeps a withdrawal for 30 s, then drops it', () => {
    const { table, clock } = newTable()
    table.recordAnswer('a', 4)
    table.recordAnswer('a', undefined)
    clock.advance(29_999)
    table.sweep(() => true)
    expect(table.knownEndpoints).toEqual(['a'])
    clock.advance(1)
    table.sweep(() => true)
    expect(table.knownEndpoints).toEqual([])
  })
})

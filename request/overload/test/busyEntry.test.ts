// Guards against an entry that resets callers because its event loop is late by a small part of what they have time for.
import { describe, expect, it } from 'vitest'
import { BusyEntry } from './busyEntry'

const SECONDS = 60

describe('an entry whose processor others take', () => {
  it.each([
    [15, 386],
    [25, 386],
    [35, 386],
    [50, 800],
  ])('with turns of %i ms, resets no caller that has %i ms', (turnMs, targetMs) => {
    const result = new BusyEntry({ turnMs, targetMs, knownTargetMs: targetMs }).play(SECONDS)
    expect(result).toMatchObject({ reset: 0, lost: 0 })
    expect(result.inTime / result.requests).toBeGreaterThan(0.99)
  })

  it('serves more in time than with a limit for the shortest targets, which loses requests', () => {
    const load = { turnMs: 50, targetMs: 800 }
    const limited = new BusyEntry(load).play(SECONDS)
    const result = new BusyEntry({ ...load, knownTargetMs: load.targetMs }).play(SECONDS)
    expect(limited.lost).toBeGreaterThan(0)
    expect(result.inTime).toBeGreaterThan(2 * limited.inTime)
  })

  it('limits its callers once its turns take more than a small part of their time', () => {
    const entry = new BusyEntry({ turnMs: 120, targetMs: 386, knownTargetMs: 386 })
    entry.play(5)
    expect(entry.gate.isLimiting).toBe(true)
  })
})

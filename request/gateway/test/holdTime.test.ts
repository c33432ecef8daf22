import { describe, expect, it } from 'vitest'
import { EventPauses } from '../src/eventPauses'
import { holdTime } from '../src/holdTime'

describe('holdTime', () => {
  it('leaves a caller that has waited for a sending that failed no longer without a word than any other', () => {
    const pauses = new EventPauses(1_000)
    const atOnce = holdTime(900, 14_000, pauses.silentMs(1_000))
    const afterFailure = holdTime(900, 13_300, pauses.silentMs(1_700))
    expect(1_700 + afterFailure).toBe(1_000 + atOnce)
    // Callers give a silent stream up after four targets.
    expect(atOnce).toBeLessThan(900 * 4 - 400)
  })

  it('counts from the last event where a stream is to go on elsewhere', () => {
    const pauses = new EventPauses(1_000)
    pauses.note(6_000)
    expect(holdTime(900, 13_000, pauses.silentMs(6_200))).toBe(900 * 3.4 - 200)
    expect(holdTime(900, 13_000, pauses.silentMs(20_000))).toBe(0)
  })
})

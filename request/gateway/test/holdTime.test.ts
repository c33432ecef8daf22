import { describe, expect, it } from 'vitest'
import { EventPauses } from '../src/eventPauses'
import { holdTime, waitTimes } from '../src/holdTime'

describe('holdTime', () => {
  it('counts the time of a failed sending towards the longest wait', () => {
    const pauses = new EventPauses(1_000)
    const atOnce = holdTime(900, 14_000, pauses.silentMs(1_000))
    const afterFailure = holdTime(900, 13_300, pauses.silentMs(1_700))
    expect(1_700 + afterFailure).toBe(1_000 + atOnce)
    // Callers abandon a silent stream after four targets.
    expect(atOnce).toBeLessThan(900 * 4 - 400)
  })

  it('counts from the last event if a stream has to resume elsewhere', () => {
    const pauses = new EventPauses(1_000)
    pauses.recordEvents(6_000)
    expect(holdTime(900, 13_000, pauses.silentMs(6_200))).toBe(900 * 3.4 - 200)
    expect(holdTime(900, 13_000, pauses.silentMs(20_000))).toBe(0)
  })
})

describe('waitTimes', () => {
  it('returns after what time a caller abandons a silent stream', () => {
    expect(waitTimes({ targetMs: 900, pauseMs: 300 }, 14_000, 100)).toEqual({
      holdMs: 2_960,
      patienceMs: 3_500,
    })
    expect(waitTimes({ targetMs: 300, pauseMs: 300 }, 14_000, 0).patienceMs).toBe(2_400)
    expect(waitTimes({ targetMs: 300 }, 14_000, 0).patienceMs).toBe(2_000)
    expect(waitTimes({ targetMs: 900 }, 1_000, 0).patienceMs).toBe(1_000)
  })
})

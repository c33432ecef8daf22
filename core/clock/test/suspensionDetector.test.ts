import { describe, expect, it } from 'vitest'
import { ManualClock, SuspensionDetector } from '../src'

/** Three clocks that can be moved one by one. */
function createHarness() {
  const time = { steady: 0, wall: 1e12, uptime: 5_000 }
  const detector = new SuspensionDetector({
    monotonic: () => time.steady,
    wall: () => time.wall,
    uptime: () => time.uptime,
  })
  return {
    time,
    detector,
    /** Lets time pass on all three, with looks in between. */
    pass: (milliseconds: number, uptimeRate = 1) => {
      for (let passed = 0; passed < milliseconds; passed += 50) {
        time.steady += 50
        time.wall += 50
        time.uptime += 50 * uptimeRate
        detector.suspendedAt()
      }
    },
  }
}

describe('SuspensionDetector', () => {
  it('notices nothing while all clocks go on alike, also where the time of day is slewed', () => {
    const { time, detector, pass } = createHarness()
    for (let second = 0; second < 60; second += 1) {
      pass(1_000)
      time.wall += second % 2 === 0 ? 0.5 : -0.5
    }
    expect(detector.suspendedAt()).toBe(-Infinity)
  })

  it('notices at the first look after it that the time of day has moved ahead', () => {
    const { time, detector, pass } = createHarness()
    pass(1_000)
    time.wall += 5_000
    time.uptime += 5_000
    expect(detector.suspendedAt()).toBe(1_000)
    pass(3_000)
    expect(detector.suspendedAt()).toBe(1_000)
  })

  it('notices by the uptime what a time of day that was set back hides', () => {
    const { time, detector, pass } = createHarness()
    pass(8_000)
    time.uptime += 5_000
    pass(1_000)
    expect(detector.suspendedAt()).toBeGreaterThanOrEqual(8_000)
  })

  it('notices one suspension once, also where both clocks show it', () => {
    const { time, detector, pass } = createHarness()
    pass(8_000)
    time.wall += 5_000
    time.uptime += 5_000
    expect(detector.suspendedAt()).toBe(8_000)
    pass(3_000)
    expect(detector.suspendedAt()).toBe(8_000)
  })

  it('takes a time of day that is set back for nothing', () => {
    const { time, detector, pass } = createHarness()
    pass(1_000)
    time.wall -= 5_000
    pass(1_000)
    expect(detector.suspendedAt()).toBe(-Infinity)
  })

  it.each([0.4, 3, 1.2])('does not believe an uptime that is another machine’s (pace %s)', (rate) => {
    const { detector, pass } = createHarness()
    pass(60_000, rate)
    expect(detector.suspendedAt()).toBe(-Infinity)
  })
})

describe('ManualClock', () => {
  it('stands still while it is suspended, and knows it afterwards', () => {
    const clock = new ManualClock(100)
    let fired = false
    clock.after(50, () => (fired = true))
    expect(clock.suspendedAt()).toBe(-Infinity)
    const before = clock.now()
    clock.suspend()
    expect(fired).toBe(false)
    expect(clock.suspendedAt()).toBeGreaterThan(before)
    expect(clock.suspendedAt()).toBeLessThanOrEqual(clock.now())
  })
})

import { describe, expect, it } from 'vitest'
import { ManualClock, SuspensionDetector } from '../src'

/** A detector over three clocks that can be moved independently. */
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
    /** Advances all three clocks, with a check every 50 ms. */
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
  it('detects nothing while all clocks advance equally, even if the wall clock is slewed', () => {
    const { time, detector, pass } = createHarness()
    for (let second = 0; second < 60; second += 1) {
      pass(1_000)
      time.wall += second % 2 === 0 ? 0.5 : -0.5
    }
    expect(detector.suspendedAt()).toBe(-Infinity)
  })

  it('detects a jump of the wall clock at the first check after it', () => {
    const { time, detector, pass } = createHarness()
    pass(1_000)
    time.wall += 5_000
    time.uptime += 5_000
    expect(detector.suspendedAt()).toBe(1_000)
    pass(3_000)
    expect(detector.suspendedAt()).toBe(1_000)
  })

  it('detects a suspension by the uptime if the wall clock does not show it', () => {
    const { time, detector, pass } = createHarness()
    pass(8_000)
    time.uptime += 5_000
    pass(1_000)
    expect(detector.suspendedAt()).toBeGreaterThanOrEqual(8_000)
  })

  it('detects a suspension once, even if both clocks show it', () => {
    const { time, detector, pass } = createHarness()
    pass(8_000)
    time.wall += 5_000
    time.uptime += 5_000
    expect(detector.suspendedAt()).toBe(8_000)
    pass(3_000)
    expect(detector.suspendedAt()).toBe(8_000)
  })

  it('ignores a wall clock that is set back', () => {
    const { time, detector, pass } = createHarness()
    pass(1_000)
    time.wall -= 5_000
    pass(1_000)
    expect(detector.suspendedAt()).toBe(-Infinity)
  })

  it.each([0.4, 3, 1.2])('ignores the uptime of another machine (rate %s)', (rate) => {
    const { detector, pass } = createHarness()
    pass(60_000, rate)
    expect(detector.suspendedAt()).toBe(-Infinity)
  })
})

describe('ManualClock', () => {
  it('fires no timer while suspended, and reports the suspension afterwards', () => {
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

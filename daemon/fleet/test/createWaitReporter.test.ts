import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { createWaitReporter } from '../src/createWaitReporter'

const STEP_MS = 100
const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS

/** Reports one reason for a time, as a step that is tried again and again does. */
function reportFor(durationMs: number, reasonAt: (now: number) => string) {
  const clock = new ManualClock()
  const reported: { at: number; reason: string }[] = []
  const report = createWaitReporter(clock, (reason) => void reported.push({ at: clock.now(), reason }))
  for (; clock.now() < durationMs; clock.advance(STEP_MS)) report(reasonAt(clock.now()))
  return reported
}

describe('createWaitReporter', () => {
  it('reports a reason at once, and again at growing distances', () => {
    const times = reportFor(2 * MINUTE_MS, () => 'in use').map(({ at }) => at)
    const distances = times.slice(1).map((at, index) => at - times[index]!)
    expect(times[0]).toBe(0)
    expect(distances.length).toBeGreaterThan(2)
    distances.slice(1).forEach((distance, index) => expect(distance).toBeGreaterThan(distances[index]!))
  })

  it('keeps reporting a wait that never ends, in few lines', () => {
    const times = reportFor(2 * HOUR_MS, () => 'in use').map(({ at }) => at)
    expect(times.at(-1)).toBeGreaterThan(2 * HOUR_MS - 10 * MINUTE_MS)
    expect(times.length).toBeLessThan(40)
  })

  it('reports a changed reason at once', () => {
    const reported = reportFor(MINUTE_MS, (now) => (now < MINUTE_MS / 2 ? 'absent' : 'cut short'))
    expect(reported).toContainEqual({ at: MINUTE_MS / 2, reason: 'cut short' })
  })
})

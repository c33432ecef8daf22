import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { watchSilence } from '../src/watchSilence'

function createHarness(silentMs?: number) {
  const clock = new ManualClock()
  const calls: string[] = []
  const watch = watchSilence({
    clock,
    silentMs,
    probe: () => calls.push(`probe ${clock.now()}`),
    onSilent: () => calls.push(`silent ${clock.now()}`),
  })
  return { clock, calls, watch }
}

describe('watchSilence', () => {
  it('probes half a timeout after the first unanswered message, and reports silence after a whole one', () => {
    const { clock, calls, watch } = createHarness(1_000)
    watch.recordSent()
    clock.advance(300)
    watch.recordSent()
    clock.advance(700)
    expect(calls).toEqual(['probe 500', 'silent 1000'])
  })

  it('stops waiting once anything is received, and starts again with the next message sent', () => {
    const { clock, calls, watch } = createHarness(1_000)
    watch.recordSent()
    clock.advance(600)
    watch.recordReceived()
    clock.advance(5_000)
    watch.recordSent()
    clock.advance(500)
    expect(calls).toEqual(['probe 500', 'probe 6100'])
  })

  it('does nothing on an idle connection, or without a timeout', () => {
    const idle = createHarness(1_000)
    idle.clock.advance(60_000)
    const off = createHarness()
    off.watch.recordSent()
    off.clock.advance(60_000)
    expect([...idle.calls, ...off.calls]).toEqual([])
  })

  it('does nothing after it is stopped', () => {
    const { clock, calls, watch } = createHarness(1_000)
    watch.recordSent()
    watch.stop()
    watch.recordSent()
    clock.advance(5_000)
    expect(calls).toEqual([])
  })
})

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
  it('probes half a time-out after the first unanswered sending, and gives up after a whole one', () => {
    const { clock, calls, watch } = createHarness(1_000)
    watch.recordSent()
    clock.advance(300)
    watch.recordSent()
    clock.advance(700)
    expect(calls).toEqual(['probe 500', 'silent 1000'])
  })

  it('is content with anything that comes back, and begins anew with the next sending', () => {
    const { clock, calls, watch } = createHarness(1_000)
    watch.recordSent()
    clock.advance(600)
    watch.recordReceived()
    clock.advance(5_000)
    watch.recordSent()
    clock.advance(500)
    expect(calls).toEqual(['probe 500', 'probe 6100'])
  })

  it('does nothing to a connection that carries nothing, or where it is not asked for', () => {
    const idle = createHarness(1_000)
    idle.clock.advance(60_000)
    const off = createHarness()
    off.watch.recordSent()
    off.clock.advance(60_000)
    expect([...idle.calls, ...off.calls]).toEqual([])
  })

  it('ends with its connection', () => {
    const { clock, calls, watch } = createHarness(1_000)
    watch.recordSent()
    watch.stop()
    watch.recordSent()
    clock.advance(5_000)
    expect(calls).toEqual([])
  })
})

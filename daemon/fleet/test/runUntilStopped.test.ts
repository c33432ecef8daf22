import { EventEmitter } from 'node:events'
import { ManualClock } from '@forkstage/clock'
import { createLogger } from '@forkstage/logger'
import { describe, expect, it } from 'vitest'
import { runUntilStopped, type StoppableMachine } from '../src/runUntilStopped'

const GRACE_MS = 8_000
const never = new Promise<never>(() => undefined)

interface LoggedEvent {
  event: string
  cut?: number
  reason?: string
  message?: string
}

/** Runs a machine with signals and a clock of the test's own. */
function run(machine: Partial<StoppableMachine>) {
  const signals = new EventEmitter()
  const clock = new ManualClock()
  const events: LoggedEvent[] = []
  const logger = createLogger({
    context: {},
    level: 'info',
    write: (line) => void events.push(JSON.parse(line).context),
  })
  const observed = { signals, clock, events, hasEnded: false, starts: 0, error: undefined as unknown }
  const whole = { start: async () => {}, stop: async () => 0, ...machine }
  runUntilStopped(whole, {
    signals,
    clock,
    logger,
    graceMs: () => GRACE_MS,
    onStarted: () => void (observed.starts += 1),
  }).then(
    () => void (observed.hasEnded = true),
    (error: unknown) => void (observed.error = error),
  )
  return observed
}

/** Lets everything that is ready to run do so. */
const flushTasks = () => new Promise((resolve) => setImmediate(resolve))
const named = (events: LoggedEvent[], name: string) => events.filter(({ event }) => event === name)

describe('a machine that is told to stop', () => {
  it('ends when its stop has, and tells how many requests were cut', async () => {
    const observed = run({ stop: async () => 3 })
    await flushTasks()
    expect(observed.starts).toBe(1)
    expect(observed.hasEnded).toBe(false)
    observed.signals.emit('SIGTERM', 'SIGTERM')
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(named(observed.events, 'box.stopped')).toMatchObject([{ cut: 3 }])
  })

  it('ends within its grace time though its stop never does, and says what was cut off', async () => {
    const observed = run({ stop: () => never })
    await flushTasks()
    observed.signals.emit('SIGTERM', 'SIGTERM')
    observed.clock.advance(GRACE_MS - 1_000)
    await flushTasks()
    expect(observed.hasEnded).toBe(false)
    observed.clock.advance(999)
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(named(observed.events, 'box.stop_cut_off')).toMatchObject([{ reason: 'its time was up' }])
    expect(named(observed.events, 'box.stopped')).toEqual([])
  })

  it('ends though its stop fails, and says why', async () => {
    const observed = run({ stop: () => Promise.reject(new Error('the disk is gone')) })
    await flushTasks()
    observed.signals.emit('SIGTERM', 'SIGTERM')
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(named(observed.events, 'box.stop_cut_off')[0]?.reason).toContain('the disk is gone')
  })

  it('ends though its start never does', async () => {
    const observed = run({ start: () => never })
    observed.signals.emit('SIGTERM', 'SIGTERM')
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(observed.starts).toBe(0)
  })

  it('does not go on starting once it has been told to stop', async () => {
    let goOn = () => {}
    const observed = run({ start: () => new Promise((resolve) => (goOn = resolve)), stop: () => never })
    observed.signals.emit('SIGTERM', 'SIGTERM')
    goOn()
    await flushTasks()
    expect(observed.starts).toBe(0)
  })

  it('stops once, whichever signals come', async () => {
    let stops = 0
    const observed = run({ stop: () => ((stops += 1), never) })
    await flushTasks()
    observed.signals.emit('SIGTERM', 'SIGTERM')
    observed.signals.emit('SIGINT', 'SIGINT')
    expect(stops).toBe(1)
    expect(named(observed.events, 'box.stopping')).toHaveLength(1)
  })

  it('fails with the error of its start', async () => {
    const observed = run({ start: () => Promise.reject(new Error('the port is taken')) })
    await flushTasks()
    expect(observed.error).toMatchObject({ message: 'the port is taken' })
  })
})

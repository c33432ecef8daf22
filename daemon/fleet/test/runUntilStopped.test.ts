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

/** Runs a machine with simulated signals and a manual clock. */
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

/** Waits until all tasks that are ready have run. */
const flushTasks = () => new Promise((resolve) => setImmediate(resolve))
const named = (events: LoggedEvent[], name: string) => events.filter(({ event }) => event === name)

describe('runUntilStopped', () => {
  it('resolves when the stop has finished, and logs how many requests were cut', async () => {
    const observed = run({ stop: async () => 3 })
    await flushTasks()
    expect(observed.starts).toBe(1)
    expect(observed.hasEnded).toBe(false)
    observed.signals.emit('SIGTERM', 'SIGTERM')
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(named(observed.events, 'box.stopped')).toMatchObject([{ cut: 3 }])
  })

  it('resolves within the grace time if the stop hangs, and logs that it was cut off', async () => {
    const observed = run({ stop: () => never })
    await flushTasks()
    observed.signals.emit('SIGTERM', 'SIGTERM')
    observed.clock.advance(GRACE_MS - 1_000)
    await flushTasks()
    expect(observed.hasEnded).toBe(false)
    observed.clock.advance(999)
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(named(observed.events, 'box.stop_cut_off')).toMatchObject([{ reason: 'the grace time was over' }])
    expect(named(observed.events, 'box.stopped')).toEqual([])
  })

  it('resolves if the stop fails, and logs the reason', async () => {
    const observed = run({ stop: () => Promise.reject(new Error('the disk is gone')) })
    await flushTasks()
    observed.signals.emit('SIGTERM', 'SIGTERM')
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(named(observed.events, 'box.stop_cut_off')[0]?.reason).toContain('the disk is gone')
  })

  it('resolves after a signal if the start hangs', async () => {
    const observed = run({ start: () => never })
    observed.signals.emit('SIGTERM', 'SIGTERM')
    await flushTasks()
    expect(observed.hasEnded).toBe(true)
    expect(observed.starts).toBe(0)
  })

  it('does not report a start that finishes after a signal', async () => {
    let goOn = () => {}
    const observed = run({ start: () => new Promise((resolve) => (goOn = resolve)), stop: () => never })
    observed.signals.emit('SIGTERM', 'SIGTERM')
    goOn()
    await flushTasks()
    expect(observed.starts).toBe(0)
  })

  it('stops once, however many signals arrive', async () => {
    let stops = 0
    const observed = run({ stop: () => ((stops += 1), never) })
    await flushTasks()
    observed.signals.emit('SIGTERM', 'SIGTERM')
    observed.signals.emit('SIGINT', 'SIGINT')
    expect(stops).toBe(1)
    expect(named(observed.events, 'box.stopping')).toHaveLength(1)
  })

  it('finishes the stop if the start fails meanwhile', async () => {
    let fail = (_error: Error) => {}
    let finish = (_cut: number) => {}
    const observed = run({
      start: () => new Promise((_, reject) => (fail = reject)),
      stop: () => new Promise((resolve) => (finish = resolve)),
    })
    observed.signals.emit('SIGTERM', 'SIGTERM')
    fail(new Error('the port is taken'))
    await flushTasks()
    expect(observed).toMatchObject({ hasEnded: false, error: undefined })
    finish(0)
    await flushTasks()
    expect(observed).toMatchObject({ hasEnded: true, error: undefined })
  })

  it('rejects with the error of the start', async () => {
    const observed = run({ start: () => Promise.reject(new Error('the port is taken')) })
    await flushTasks()
    expect(observed.error).toMatchObject({ message: 'the port is taken' })
  })
})

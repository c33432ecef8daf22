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
  const world = { signals, clock, events, hasEnded: false, starts: 0, error: undefined as unknown }
  const whole = { start: async () => {}, stop: async () => 0, ...machine }
  runUntilStopped(whole, {
    signals,
    clock,
    logger,
    graceMs: () => GRACE_MS,
    onStarted: () => void (world.starts += 1),
  }).then(
    () => void (world.hasEnded = true),
    (error: unknown) => void (world.error = error),
  )
  return world
}

/** Lets everything that is ready to run do so. */
const settle = () => new Promise((resolve) => setImmediate(resolve))
const named = (events: LoggedEvent[], name: string) => events.filter(({ event }) => event === name)

describe('a machine that is told to stop', () => {
  it('ends when its stop has, and tells how many requests were cut', async () => {
    const world = run({ stop: async () => 3 })
    await settle()
    expect(world.starts).toBe(1)
    expect(world.hasEnded).toBe(false)
    world.signals.emit('SIGTERM', 'SIGTERM')
    await settle()
    expect(world.hasEnded).toBe(true)
    expect(named(world.events, 'box.stopped')).toMatchObject([{ cut: 3 }])
  })

  it('ends within its grace time though its stop never does, and says what was cut off', async () => {
    const world = run({ stop: () => never })
    await settle()
    world.signals.emit('SIGTERM', 'SIGTERM')
    world.clock.advance(GRACE_MS - 1_000)
    await settle()
    expect(world.hasEnded).toBe(false)
    world.clock.advance(999)
    await settle()
    expect(world.hasEnded).toBe(true)
    expect(named(world.events, 'box.stop_cut_off')).toMatchObject([{ reason: 'its time was up' }])
    expect(named(world.events, 'box.stopped')).toEqual([])
  })

  it('ends though its stop fails, and says why', async () => {
    const world = run({ stop: () => Promise.reject(new Error('the disk is gone')) })
    await settle()
    world.signals.emit('SIGTERM', 'SIGTERM')
    await settle()
    expect(world.hasEnded).toBe(true)
    expect(named(world.events, 'box.stop_cut_off')[0]?.reason).toContain('the disk is gone')
  })

  it('ends though its start never does', async () => {
    const world = run({ start: () => never })
    world.signals.emit('SIGTERM', 'SIGTERM')
    await settle()
    expect(world.hasEnded).toBe(true)
    expect(world.starts).toBe(0)
  })

  it('does not go on starting once it has been told to stop', async () => {
    let goOn = () => {}
    const world = run({ start: () => new Promise((resolve) => (goOn = resolve)), stop: () => never })
    world.signals.emit('SIGTERM', 'SIGTERM')
    goOn()
    await settle()
    expect(world.starts).toBe(0)
  })

  it('stops once, whichever signals come', async () => {
    let stops = 0
    const world = run({ stop: () => ((stops += 1), never) })
    await settle()
    world.signals.emit('SIGTERM', 'SIGTERM')
    world.signals.emit('SIGINT', 'SIGINT')
    expect(stops).toBe(1)
    expect(named(world.events, 'box.stopping')).toHaveLength(1)
  })

  it('fails with the error of its start', async () => {
    const world = run({ start: () => Promise.reject(new Error('the port is taken')) })
    await settle()
    expect(world.error).toMatchObject({ message: 'the port is taken' })
  })
})

import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { DelayMonitor } from '../src'

const ENDPOINT = '127.0.0.1:1'

function newMonitor(running = 10) {
  const clock = new ManualClock()
  return { clock, monitor: new DelayMonitor({ clock, idleMs: () => clock.now(), running: () => running }) }
}

describe('the delay that a machine adds by itself', () => {
  it('is the smallest excess of the recent connects', () => {
    const { clock, monitor } = newMonitor()
    for (const tookMs of [2, 40, 2]) monitor.recordConnect(ENDPOINT, tookMs)
    expect(monitor.connectMs).toBe(0)
    clock.advance(1_000)
    for (const tookMs of [42, 32, 52]) monitor.recordConnect(ENDPOINT, tookMs)
    expect(monitor.connectMs).toBe(30)
  })

  it('is none with too few connects, or once they are long past', () => {
    const { clock, monitor } = newMonitor()
    monitor.recordConnect(ENDPOINT, 2)
    clock.advance(1_000)
    for (const tookMs of [42, 42]) monitor.recordConnect(ENDPOINT, tookMs)
    expect(monitor.connectMs).toBe(0)
    monitor.recordConnect(ENDPOINT, 42)
    expect(monitor.connectMs).toBe(40)
    clock.advance(1_000)
    expect(monitor.connectMs).toBe(0)
  })

  it('is the link’s as far as connects exceed a turn of the event loop', () => {
    const clock = new ManualClock()
    const callbacks: (() => void)[] = []
    const nextTurn = (callback: () => void) => void callbacks.push(callback)
    const monitor = new DelayMonitor({ clock, idleMs: () => 0, running: () => 10, nextTurn })
    monitor.recordConnect(ENDPOINT, 2)
    clock.advance(1_000)
    monitor.watch()
    // One check, which measures the turn that follows.
    clock.advance(50)
    callbacks.shift()!()
    clock.advance(25)
    callbacks.shift()!()
    for (const tookMs of [42, 32, 52]) monitor.recordConnect(ENDPOINT, tookMs)
    expect(monitor.connectMs).toBe(30)
    expect(monitor.linkMs).toBe(5)
    clock.advance(1_000)
    expect(monitor.linkMs).toBe(0)
  })

  it('compares each endpoint with its own shortest connect', () => {
    const { clock, monitor } = newMonitor()
    monitor.recordConnect('near', 1)
    monitor.recordConnect('far', 30)
    clock.advance(1_000)
    for (const [endpoint, tookMs] of [
      ['near', 1],
      ['far', 30],
      ['far', 31],
    ] as const)
      monitor.recordConnect(endpoint, tookMs)
    expect(monitor.connectMs).toBe(0)
  })

  it('is no longer counted once a longer path has stayed for minutes', () => {
    const { clock, monitor } = newMonitor()
    monitor.recordConnect(ENDPOINT, 2)
    for (let minute = 0; minute < 3; minute += 1) {
      clock.advance(61_000)
      for (let count = 0; count < 3; count += 1) monitor.recordConnect(ENDPOINT, 26)
    }
    expect(monitor.connectMs).toBe(0)
  })

  it('is no delay of the event loop while timers are on time, and needs no check while little is in progress', () => {
    const { clock, monitor } = newMonitor()
    monitor.watch()
    clock.advance(1_000)
    expect(monitor.loopMs).toBe(0)
    const idle = newMonitor(1)
    idle.monitor.watch()
    expect(idle.monitor.delayMs).toBe(0)
  })

  // Guards against a limit that stays in force at an entry that has become idle.
  it('is checked for as long as it counts as delayed, however little is in progress', () => {
    const clock = new ManualClock()
    let checks = 0
    const monitor = new DelayMonitor({
      clock,
      idleMs: () => clock.now(),
      running: () => 0,
      isDelayed: () => checks < 5,
      onCheck: () => (checks += 1),
    })
    monitor.watch()
    clock.advance(10_000)
    expect(checks).toBe(5)
  })
})

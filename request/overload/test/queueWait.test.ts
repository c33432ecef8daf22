import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { QueueWait } from '../src'

function start() {
  const clock = new ManualClock()
  let callbacks: (() => void)[] = []
  const wait = new QueueWait({ clock, nextTurn: (callback) => callbacks.push(callback) })
  /** Plays a turn of the event loop, which accepts a connection or none; returns the wait of that connection. */
  const turn = (ms: number, accepts: boolean) => {
    clock.advance(ms)
    const due = callbacks
    callbacks = []
    const waited = accepts ? wait.recordAccepted() : undefined
    due.forEach((callback) => callback())
    return waited
  }
  return { turn, scheduled: () => callbacks.length }
}

describe('QueueWait', () => {
  it('grows while each turn accepts a connection', () => {
    const { turn } = start()
    expect([1, 2, 3, 4].map(() => turn(30, true))).toEqual([0, 30, 60, 90])
  })

  it('begins anew after a turn that accepted none, and then asks for no further turn', () => {
    const { turn, scheduled } = start()
    turn(30, true)
    expect(turn(30, true)).toBe(30)
    turn(30, false)
    expect(scheduled()).toBe(0)
    expect(turn(30, true)).toBe(0)
  })
})

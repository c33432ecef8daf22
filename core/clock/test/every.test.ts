import { afterEach, describe, expect, it, vi } from 'vitest'
import { createSystemClock, every, ManualClock } from '../src'

// Guards against periodic tasks that stop for good after one unexpected error.
describe('every', () => {
  const error = new Error('too many open files')

  function failOnce() {
    return vi.fn().mockImplementationOnce(() => {
      throw error
    })
  }

  afterEach(() => {
    vi.useRealTimers()
  })

  it('goes on after a callback that throws, and passes the error on', () => {
    const clock = new ManualClock()
    const callback = failOnce()
    every(clock, 100, callback)
    expect(() => clock.advance(100)).toThrow(error)
    clock.advance(200)
    expect(callback).toHaveBeenCalledTimes(3)
  })

  it('goes on at the clock of the system', () => {
    vi.useFakeTimers()
    const callback = failOnce()
    const cancel = every(createSystemClock(), 100, callback)
    expect(() => vi.advanceTimersByTime(100)).toThrow(error)
    vi.advanceTimersByTime(200)
    expect(callback).toHaveBeenCalledTimes(3)
    cancel()
    expect(vi.getTimerCount()).toBe(0)
  })

  it('stops where the callback cancels before it throws', () => {
    const clock = new ManualClock()
    const callback = vi.fn(() => {
      cancel()
      throw error
    })
    const cancel = every(clock, 100, callback)
    expect(() => clock.advance(100)).toThrow(error)
    clock.advance(1_000)
    expect(callback).toHaveBeenCalledTimes(1)
  })
})

describe('ManualClock', () => {
  it('fires the other timers that are due when one throws', () => {
    const clock = new ManualClock()
    const fired: string[] = []
    const failWith = (message: string) => () => {
      throw new Error(message)
    }
    clock.after(10, failWith('first'))
    clock.after(20, () => fired.push('next'))
    expect(() => clock.advance(50)).toThrow('first')
    expect([clock.now(), fired]).toEqual([50, ['next']])
    clock.after(10, failWith('one'))
    clock.after(20, failWith('two'))
    expect(() => clock.advance(50)).toThrow(AggregateError)
  })
})

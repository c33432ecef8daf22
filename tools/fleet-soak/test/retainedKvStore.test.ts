import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { RetainedKvStore, HANDLE_TTL_MS } from '../src/retainedKvStore'

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

const createStore = () => new RetainedKvStore(createSeededRandom(1))

describe('RetainedKvStore', () => {
  it('lets only its own request consume a retained run, once, at an engine that has it', () => {
    const store = createStore()
    const handle = store.retainRun('r1', ['a', 'b'])
    expect(store.consume(handle, 'r2', 'a')).toBeUndefined()
    expect(store.consume(handle, 'r1', 'c')).toBeUndefined()
    expect(store.consume(handle, 'r1', 'b')).toBe('run')
    expect(store.consume(handle, 'r1', 'a')).toBeUndefined()
  })

  it('retains a run for longer than stated, counted from the last copy', () => {
    const store = createStore()
    const handle = store.retainRun('r1', ['a'])
    vi.advanceTimersByTime(HANDLE_TTL_MS * 2)
    store.retainRun('r1', ['a', 'b'], handle)
    vi.advanceTimersByTime(HANDLE_TTL_MS * 2)
    expect([...store.expiredRuns]).toEqual([])
    vi.advanceTimersByTime(HANDLE_TTL_MS)
    expect([...store.expiredRuns]).toEqual(['r1'])
    expect(store.consume(handle, 'r1', 'a')).toBeUndefined()
  })

  it('counts a released run as expired only after the stated time', () => {
    const store = createStore()
    store.release(store.retainRun('early', ['a']))
    const late = store.retainRun('late', ['a'])
    vi.advanceTimersByTime(HANDLE_TTL_MS)
    store.release(late)
    expect([...store.expiredRuns]).toEqual(['late'])
  })
})

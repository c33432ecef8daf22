import { describe, expect, it } from 'vitest'
import { oneAtATime } from '../src/oneAtATime'

const flushTasks = () => new Promise((resolve) => setImmediate(resolve))

describe('oneAtATime', () => {
  it('runs once more for any number of calls during a run', async () => {
    const ends: (() => void)[] = []
    const run = oneAtATime(() => new Promise((resolve) => ends.push(resolve)))
    run()
    run()
    run()
    expect(ends).toHaveLength(1)
    ends[0]!()
    await flushTasks()
    expect(ends).toHaveLength(2)
    ends[1]!()
    await flushTasks()
    expect(ends).toHaveLength(2)
    run()
    expect(ends).toHaveLength(3)
  })
})

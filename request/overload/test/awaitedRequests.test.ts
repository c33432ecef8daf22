import { ManualClock } from '@forkstage/clock'
import { expect, it } from 'vitest'
import { AwaitedRequests } from '../src'

// Guards against idle connections that use up the limit of an entry.
it('a new connection counts until its request has come, and for a quarter of a second at most', () => {
  const clock = new ManualClock()
  const awaited = new AwaitedRequests<string>(clock)
  awaited.add('a')
  clock.advance(200)
  awaited.add('b')
  awaited.add('c')
  awaited.delete('c')
  expect(awaited.count).toBe(2)
  clock.advance(100)
  expect(awaited.count).toBe(1)
  clock.advance(200)
  expect(awaited.count).toBe(0)
})

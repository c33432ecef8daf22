import { afterEach, describe, expect, it, vi } from 'vitest'
import { WorkPace } from '../src/workPace'
import { ask, engine, createAllocator } from './fixtures'

afterEach(() => void vi.restoreAllMocks())

/** Returns how often engine paces are computed to place one request among a number of engines. */
function countPaceReads(engines: number): number {
  const decoders = Array.from({ length: engines }, (_, index) => engine(`d${index}`, 'decode'))
  const one = createAllocator([engine('p', 'prefill'), ...decoders])
  const holds = decoders.map(({ id }) => ({
    ask: ask(`at-${id}`, { entry: 'runner', promptTokens: 100 }),
    decode: id,
    ageMs: 1_100,
    decodingForMs: 1_000,
    madeTokens: 200,
  }))
  one.allocator.applyReport('runner', holds, 1_000)
  const paceReads = vi.spyOn(WorkPace.prototype, 'msPerUnit')
  paceReads.mockClear()
  one.place(ask('next', { promptTokens: 100, pauseMs: 300 }), 1_100)
  expect(one.decodeOf('next')).toMatch(/^d/)
  return paceReads.mock.calls.length
}

describe('a decision', () => {
  it('costs time linear in the number of engines, since at quadratic cost the leader would lose its lease', () => {
    const [few, many] = [countPaceReads(60), countPaceReads(240)]
    expect(many / few).toBeLessThan(5)
    expect(many).toBeLessThan(240 * 8)
  })
})

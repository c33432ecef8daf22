import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createLogger } from '@forkstage/logger'
import { MemoryMonitor } from '../src/memoryMonitor'

const MB = 1024 * 1024
const LIMIT = 200 * MB

function watchMemory() {
  const lines: object[] = []
  const clock = new ManualClock()
  const memory = { resident: 60 * MB, heapUsed: 20 * MB, external: 9 * MB, arrayBuffers: 8 * MB }
  const monitor = new MemoryMonitor({
    limitBytes: () => LIMIT,
    read: () => memory,
    clock,
    logger: createLogger({
      context: {},
      level: 'info',
      write: (line) => lines.push((JSON.parse(line) as { context: object }).context),
    }),
  })
  monitor.observe(() => ({ connections: 7 }))
  monitor.start()
  const stay = (residentMb: number, forMs: number) => {
    memory.resident = residentMb * MB
    clock.advance(forMs)
  }
  return { lines, stay, monitor }
}

describe('the memory of a process', () => {
  it('is not logged while it is far from the limit', () => {
    const { lines, stay } = watchMemory()
    stay(149, 60_000)
    expect(lines).toEqual([])
  })

  it('is logged with what holds it at each share of the limit', () => {
    const { lines, stay } = watchMemory()
    stay(151, 1_000)
    stay(181, 1_000)
    const common = { heapUsed: 20 * MB, external: 9 * MB, arrayBuffers: 8 * MB, limit: LIMIT }
    expect(lines).toMatchObject([
      { event: 'memory.high', ...common, resident: 151 * MB, held: { connections: 7 } },
      { event: 'memory.high', ...common, resident: 181 * MB },
    ])
  })

  it('is logged once in ten seconds while it moves about a share', () => {
    const { lines, stay } = watchMemory()
    for (let second = 0; second < 9; second += 1) stay(second % 2 === 0 ? 151 : 140, 1_000)
    expect(lines).toHaveLength(1)
    stay(155, 2_000)
    expect(lines).toHaveLength(2)
  })

  it('is logged at once when it rises again after a while below all shares', () => {
    const { lines, stay } = watchMemory()
    stay(151, 1_000)
    stay(100, 15_000)
    stay(151, 1_000)
    expect(lines).toHaveLength(2)
  })

  it('is not sampled after the stop', () => {
    const { lines, stay, monitor } = watchMemory()
    monitor.stop()
    stay(199, 60_000)
    expect(lines).toEqual([])
  })
})

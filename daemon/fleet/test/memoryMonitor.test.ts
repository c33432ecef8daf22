import { afterEach, describe, expect, it, vi } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createLogger } from '@forkstage/logger'
import { FleetMetrics } from '../src/fleetMetrics'
import { GarbageMonitor } from '../src/garbageMonitor'
import { MemoryMonitor } from '../src/memoryMonitor'
import { readProcessMemory, type ProcessMemory } from '../src/processMemory'

const MB = 1024 * 1024
const LIMIT = 200 * MB
const HEAP_LIMIT = 100 * MB

function watchMemory() {
  const lines: object[] = []
  const clock = new ManualClock()
  const memory: ProcessMemory = {
    resident: 60 * MB,
    heapUsed: 20 * MB,
    heapLimit: HEAP_LIMIT,
    external: 9 * MB,
    arrayBuffers: 8 * MB,
  }
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
  return { lines, stay, monitor, memory, clock }
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

  // Guards against processes that end with a full heap, far from their memory limit, without a line before.
  it('is logged where the heap approaches its limit', () => {
    const { lines, stay, memory } = watchMemory()
    memory.heapUsed = 74 * MB
    stay(120, 1_000)
    expect(lines).toEqual([])
    memory.heapUsed = 76 * MB
    stay(120, 1_000)
    memory.heapUsed = 91 * MB
    stay(140, 1_000)
    const common = { event: 'memory.high', closest: 'heap', heapLimit: HEAP_LIMIT, limit: LIMIT }
    expect(lines).toMatchObject([
      { ...common, heapUsed: 76 * MB, resident: 120 * MB, held: { connections: 7 } },
      { ...common, heapUsed: 91 * MB, resident: 140 * MB },
    ])
    stay(140, 20_000)
    expect(lines).toHaveLength(4)
  })

  it('is logged with the limit that is closest', () => {
    const { lines, stay, memory } = watchMemory()
    memory.heapUsed = 80 * MB
    stay(170, 1_000)
    expect(lines).toMatchObject([{ event: 'memory.high', closest: 'resident' }])
    memory.heapUsed = 95 * MB
    stay(170, 1_000)
    expect(lines[1]).toMatchObject({ event: 'memory.high', closest: 'heap' })
  })

  it('is logged as unreadable, once in ten seconds, where the system does not tell it', () => {
    const { lines, clock, memory } = watchMemory()
    const reason = 'EMFILE: too many open files, uv_resident_set_memory'
    Object.assign(memory, { resident: undefined, arrayBuffers: undefined, failure: new Error(reason) })
    clock.advance(10_000)
    expect(lines).toMatchObject([{ event: 'memory.unreadable', reason }])
    clock.advance(1_000)
    expect(lines).toHaveLength(2)
  })

  it('is logged by the heap alone where the system does not tell the rest', () => {
    const { lines, clock, memory } = watchMemory()
    const reason = 'EMFILE: too many open files, uv_resident_set_memory'
    Object.assign(memory, { resident: undefined, arrayBuffers: undefined, failure: new Error(reason) })
    clock.advance(1_000)
    expect(lines).toMatchObject([{ event: 'memory.unreadable', reason }])
    memory.heapUsed = 91 * MB
    clock.advance(1_000)
    const { event, closest, ...rest } = lines[1] as Record<string, unknown>
    expect([event, closest]).toEqual(['memory.high', 'heap'])
    expect(rest).not.toHaveProperty('resident')
    expect(rest).not.toHaveProperty('failure')
    clock.advance(8_000)
    expect(lines).toHaveLength(2)
    clock.advance(1_000)
    expect(lines[2]).toMatchObject({ event: 'memory.unreadable' })
  })
})

describe('readProcessMemory', () => {
  afterEach(() => {
    vi.restoreAllMocks()
  })

  it('reads the memory of this process and the limit of its heap', () => {
    const memory = readProcessMemory()
    expect(memory.failure).toBeUndefined()
    expect(memory.heapUsed).toBeLessThan(memory.heapLimit)
    expect(memory.resident).toBeGreaterThan(memory.heapUsed)
    expect(memory.arrayBuffers).toBeLessThanOrEqual(memory.external)
  })

  // Guards against a process without descriptors, for which the system opens a file, that reads and collects nothing.
  it('reads what it can where descriptors have run out', () => {
    const failure = new Error('EMFILE: too many open files, uv_resident_set_memory')
    vi.spyOn(process, 'memoryUsage').mockImplementation(() => {
      throw failure
    })
    const memory = readProcessMemory()
    expect(memory).toMatchObject({ failure })
    expect(memory.resident).toBeUndefined()
    expect(memory.heapUsed).toBeGreaterThan(0)
    expect(memory.heapLimit).toBeGreaterThan(memory.heapUsed)
    expect(memory.external).toBeGreaterThan(0)
  })

  it('lets metrics and the collection of garbage go on where descriptors have run out', async () => {
    vi.spyOn(process, 'memoryUsage').mockImplementation(() => {
      throw new Error('EMFILE: too many open files, uv_resident_set_memory')
    })
    vi.spyOn(process.memoryUsage, 'rss').mockImplementation(() => {
      throw new Error('EMFILE: too many open files, uv_resident_set_memory')
    })
    const text = await new FleetMetrics({}, () => LIMIT).text()
    expect(text).toMatch(/^forkstage_process_resident_bytes -1$/m)
    expect(text).toMatch(/^forkstage_process_heap_used_bytes [1-9]/m)
    expect(text).toMatch(/^forkstage_process_heap_limit_bytes [1-9]/m)
    const clock = new ManualClock()
    new GarbageMonitor({ limitBytes: () => LIMIT, collect: () => undefined, clock }).start()
    clock.advance(1_000)
  })
})

import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import type { CollectionKind } from '../src/collectGarbage'
import { GarbageMonitor } from '../src/garbageMonitor'

const MB = 1024 * 1024
const LIMIT = 200 * MB
const SAMPLE_MS = 100

/** Buffers of a process: those in use, and dropped ones that a collection of either kind frees. */
class Buffers {
  inUse = 30 * MB
  droppedYoung = 0
  droppedOld = 0
  readonly collections: CollectionKind[] = []

  get bytes(): number {
    return this.inUse + this.droppedYoung + this.droppedOld
  }

  collect(kind: CollectionKind): void {
    this.collections.push(kind)
    this.droppedYoung = 0
    if (kind === 'full') this.droppedOld = 0
  }
}

function monitor() {
  const clock = new ManualClock()
  const buffers = new Buffers()
  const started = new GarbageMonitor({
    limitBytes: () => LIMIT,
    bufferBytes: () => buffers.bytes,
    collect: (kind) => buffers.collect(kind),
    clock,
  })
  started.start()
  clock.advance(SAMPLE_MS)
  return { clock, buffers, started }
}

describe('dropped buffers', () => {
  // Guards against dropped buffers that pile up to 64 MB, which V8 allows, beside all budgets of a process of 200 MB.
  it('do not pile up while large bodies pass through', () => {
    const { clock, buffers } = monitor()
    let highest = 0
    for (let sample = 0; sample < 300; sample += 1) {
      buffers.droppedYoung += 3 * MB
      buffers.droppedOld += 1 * MB
      highest = Math.max(highest, buffers.bytes - buffers.inUse)
      clock.advance(SAMPLE_MS)
    }
    expect(highest).toBeLessThanOrEqual(LIMIT * 0.2)
  })

  it('are not looked for while the buffers do not grow', () => {
    const { clock, buffers } = monitor()
    clock.advance(60_000)
    expect(buffers.collections).toEqual([])
  })

  it('are looked for once where the growth is of buffers in use', () => {
    const { clock, buffers } = monitor()
    buffers.inUse += 40 * MB
    clock.advance(60_000)
    expect(buffers.collections).toEqual(['full'])
  })

  it('take no full collection more than once in a second', () => {
    const { clock, buffers } = monitor()
    for (let sample = 0; sample < 50; sample += 1) {
      buffers.droppedOld += 50 * MB
      clock.advance(SAMPLE_MS)
    }
    expect(buffers.collections.filter((kind) => kind === 'full').length).toBeLessThanOrEqual(5)
  })

  it('are left to V8 after the stop', () => {
    const { clock, buffers, started } = monitor()
    started.stop()
    buffers.droppedYoung += 100 * MB
    clock.advance(60_000)
    expect(buffers.collections).toEqual([])
  })
})

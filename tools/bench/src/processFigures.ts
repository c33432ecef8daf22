import got from 'got'
import type { BoxHandle } from '@forkstage/deployment'

/** Processor time and memory of a box's process, from its own metrics. */
export interface ProcessFigures {
  cpuSeconds: number
  residentBytes: number
  heapBytes: number
}

/** Reads the figures of a box's process from its `/metrics`; a missing metric reads as 0. */
export async function readProcess(box: BoxHandle): Promise<ProcessFigures> {
  const text = await got(`http://${box.operators}/metrics`).text()
  const value = (name: string) => Number(new RegExp(`^${name} ([0-9.e+-]+)$`, 'm').exec(text)?.[1] ?? 0)
  return {
    cpuSeconds: value('process_cpu_seconds_total'),
    residentBytes: value('process_resident_memory_bytes'),
    heapBytes: value('nodejs_heap_size_used_bytes'),
  }
}

export function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

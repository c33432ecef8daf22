import got from 'got'
import type { BoxHandle } from '@forkstage/deployment'

/** What a box's own metrics say of its process. */
export interface ProcessFigures {
  cpuSeconds: number
  residentBytes: number
  heapBytes: number
}

/** Reads a box's figures from its `/metrics`. */
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

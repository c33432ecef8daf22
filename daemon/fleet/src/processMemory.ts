import { readdirSync } from 'node:fs'
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import type { FleetSettings } from '@forkstage/fleet-settings'

/** What a process holds in memory, in bytes. */
export interface ProcessMemory {
  /** Absent where the operating system does not tell it. */
  resident?: number
  heapUsed: number
  /** A process whose heap cannot stay below it is ended by V8. */
  heapLimit: number
  /** Outside the V8 heap, with the array buffers. */
  external: number
  /** Absent where {@link resident} is. */
  arrayBuffers?: number
  /** Why the operating system does not tell the memory. */
  failure?: unknown
}

const MB = 1024 * 1024
const DESCRIPTORS = '/proc/self/fd'

/** Reads the memory of this process; does not throw where the operating system does not tell all of it. */
export function readProcessMemory(): ProcessMemory {
  const heap = getHeapStatistics()
  return {
    heapUsed: heap.used_heap_size,
    heapLimit: heap.heap_size_limit,
    external: heap.external_memory,
    ...readSystemMemory(),
  }
}

/** The resident memory is read from a file, which fails while no descriptor is free. */
function readSystemMemory(): Pick<ProcessMemory, 'resident' | 'arrayBuffers' | 'failure'> {
  try {
    const { rss: resident, arrayBuffers } = process.memoryUsage()
    return { resident, arrayBuffers }
  } catch (failure) {
    return { failure }
  }
}

/** Returns how much memory this process may use: the setting, or what the machine has if that is less. */
export function processLimitBytes({ memory }: FleetSettings, machineBytes = totalmem()): number {
  return Math.min(memory.process_mb * MB, machineBytes)
}

/** Returns the number of open descriptors of this process; -1 where the operating system does not list them. */
export function countOpenDescriptors(): number {
  try {
    return readdirSync(DESCRIPTORS).length
  } catch {
    return -1
  }
}

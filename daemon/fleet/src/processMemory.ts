import { readdirSync } from 'node:fs'
import { totalmem } from 'node:os'
import type { FleetSettings } from '@forkstage/fleet-settings'

/** What a process holds in memory, in bytes. */
export interface ProcessMemory {
  resident: number
  heapUsed: number
  /** Outside the V8 heap, with the array buffers. */
  external: number
  arrayBuffers: number
}

const MB = 1024 * 1024
const DESCRIPTORS = '/proc/self/fd'

/** Reads the memory of this process. */
export function readProcessMemory(): ProcessMemory {
  const { rss, heapUsed, external, arrayBuffers } = process.memoryUsage()
  return { resident: rss, heapUsed, external, arrayBuffers }
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

import { readFileSync } from 'node:fs'

const OPEN_FILES = /^Max open files\s+(\d+)/m

/** Returns how many descriptors the system lets this process open; Infinity where the system does not tell. */
export function openFilesLimit(path = '/proc/self/limits'): number {
  try {
    return Number(OPEN_FILES.exec(readFileSync(path, 'utf8'))?.[1] ?? Infinity)
  } catch {
    // Only Linux has this file.
    return Infinity
  }
}

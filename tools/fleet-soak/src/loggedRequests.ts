import { existsSync, readFileSync } from 'node:fs'

/** Returns the ids of requests that the log of a machine names. */
export function loggedRequests(logFile: string): Set<string> {
  if (!existsSync(logFile)) return new Set()
  const ids = readFileSync(logFile, 'utf8').matchAll(/"request":"([^"]*)"/g)
  return new Set(Array.from(ids, ([, id]) => id!))
}

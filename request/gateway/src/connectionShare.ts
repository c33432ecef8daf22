/**
 * Connections that one entry keeps at an endpoint at most, where all entries together may keep so many: what lies beyond is
 * reset there, and a request that may run once is lost with it. One at least, or more entries than connections would serve
 * nobody.
 */
export function connectionShare(maxConnections: number, entries: number): number {
  return Math.max(1, Math.floor(maxConnections / Math.max(1, entries)))
}

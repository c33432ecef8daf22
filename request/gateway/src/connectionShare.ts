/**
 * Returns how many connections one entry may have to an endpoint that accepts `maxConnections` from all entries
 * together. The endpoint resets those beyond, and a request that may run only once is lost with its connection. At
 * least 1, since with more entries than connections no entry could serve otherwise.
 */
export function connectionShare(maxConnections: number, entries: number): number {
  return Math.max(1, Math.floor(maxConnections / Math.max(1, entries)))
}

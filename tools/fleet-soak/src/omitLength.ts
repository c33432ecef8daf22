import type { ServerResponse } from 'node:http'

/** Ids after which the choice of answers without a length repeats. */
const PERIOD = 20

/**
 * Makes a share of the answers end with their connection, by the numbers in their ids, so that the draws of a seed stay the
 * same.
 */
export function omitLength(id: string, response: ServerResponse, share = 0): void {
  if (Number(id.slice(1)) % PERIOD >= share * PERIOD) return
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

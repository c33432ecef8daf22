import { createHash } from 'node:crypto'
import type { StreamKey } from './originTypes'

const KEY_BYTES = 12

/**
 * Names a stream by the request that brought its first event. A digest bounds the length of what a caller sends, and the
 * same id in another workspace names another stream.
 * @param workspace empty if the route is public or there are no workspaces.
 */
export function streamKey(workspace: string, request: string): StreamKey {
  const hash = createHash('sha256')
  // The length separates the two, whatever characters they contain.
  hash.update(`${workspace.length}:${workspace}${request}`)
  return hash.digest().subarray(0, KEY_BYTES).toString('base64url')
}

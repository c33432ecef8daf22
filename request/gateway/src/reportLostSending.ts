import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import type { RelayJob, RelayParts } from './relayParts'

/** An endpoint that gave no sign for so long before it was given up may have ended without a word. */
const MIN_SILENCE_MS: Millis = 1_000

/**
 * Notes that an endpoint was left without a whole answer.
 * @param afterMs how long after it was sent.
 * @param silentMs how long it had given no sign when it was given up here; absent where its connection broke.
 */
export function reportLostSending(
  { crashes }: RelayParts,
  { request }: RelayJob,
  { endpoint }: PooledEndpoint,
  afterMs: Millis,
  silentMs?: Millis,
): void {
  if (silentMs !== undefined && silentMs < MIN_SILENCE_MS) return
  const isBroken = silentMs === undefined
  crashes?.recordLoss({ request: request.id, content: request.content(), endpoint, isBroken, afterMs })
}

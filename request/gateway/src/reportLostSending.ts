import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import type { RelayJob, RelayParts } from './relayParts'

/** An endpoint that was silent for at least this time before its sending was cancelled may have crashed. */
const MIN_SILENCE_MS: Millis = 1_000

/**
 * Reports a sending that ended without a complete answer, since its endpoint may have crashed.
 * @param afterMs time since the request was sent.
 * @param silentMs how long the endpoint had sent nothing when this entry cancelled; absent if the connection broke.
 * @param hasBegun whether the endpoint had begun to write the answer; absent where that is unknown.
 */
export function reportLostSending(
  { crashes }: RelayParts,
  { request, service }: RelayJob,
  { endpoint }: PooledEndpoint,
  afterMs: Millis,
  silentMs?: Millis,
  hasBegun?: boolean,
): void {
  if (silentMs !== undefined && silentMs < MIN_SILENCE_MS) return
  const isBroken = silentMs === undefined
  crashes?.recordLoss({
    request: request.id,
    content: request.content(),
    // Only engines write answers on prompts.
    parts: service.engine === undefined ? undefined : request.parts(service.name),
    endpoint,
    isBroken,
    hasBegun,
    afterMs,
  })
}

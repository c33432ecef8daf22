import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import { fetchAnswer } from './fetchAnswer'
import { recordStatements } from './recordStatements'
import type { RelayParts } from './relayParts'

const CONNECT_MS: Millis = 1_000
/** Bounds how long an engine that accepts the call without answering keeps its connection open. */
const ANSWER_TIMEOUT_MS: Millis = 2_000
const MAX_ANSWER_BYTES = 64 * 1024

/** Releases a KV cache that an engine retains. If the call is lost, the handle expires there. */
export function releaseHandle(parts: RelayParts, at: PooledEndpoint, handle: string): void {
  const { address } = at.endpoint
  void fetchAnswer({
    address,
    ...parts.wire.releaseCall(handle),
    rawHeaders: ['Host', address, 'Connection', 'close'],
    body: Buffer.alloc(0),
    connectMs: CONNECT_MS,
    timeoutMs: ANSWER_TIMEOUT_MS,
    dial: parts.dialer?.dial,
    clock: parts.clock,
    maxBytes: MAX_ANSWER_BYTES,
  }).then((outcome) => {
    if (outcome.type === 'answer') recordStatements(parts, at, outcome.head, { request: handle })
  })
}

import type { Address } from '@forkstage/types'
import { exchangeWhole } from './exchangeWhole'
import type { RelayParts } from './relayParts'

const CONNECT_MS = 1_000
const MAX_ANSWER_BYTES = 64 * 1024

/** Frees the memory that a prefill step left at an engine. What is lost on the way lapses there by itself. */
export function releaseHandle(parts: RelayParts, address: Address, handle: string): void {
  void exchangeWhole({
    address,
    ...parts.wire.releaseCall(handle),
    rawHeaders: ['Host', address, 'Connection', 'close'],
    body: Buffer.alloc(0),
    connectMs: CONNECT_MS,
    clock: parts.clock,
    maxBytes: MAX_ANSWER_BYTES,
  })
}

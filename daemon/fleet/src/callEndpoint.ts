import type { Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { fetchAnswer, type FetchOutcome } from '@forkstage/gateway'
import type { EndpointCall } from './controlWire'

const CONNECT_TIMEOUT_MS = 400
/** Bounds how long an endpoint that accepts a call without answering can block the caller. */
const ANSWER_TIMEOUT_MS = 2_000
const MAX_ANSWER_BYTES = 64 * 1024

/**
 * Calls an endpoint on behalf of a control machine.
 * @returns the outcome of the call; the promise never rejects.
 */
export function callEndpoint(
  to: RegisteredEndpoint,
  call: EndpointCall,
  clock: Clock,
): Promise<FetchOutcome> {
  return fetchAnswer({
    address: to.address,
    ...call,
    rawHeaders: [
      'Host',
      to.address,
      ...call.rawHeaders,
      'Content-Length',
      String(call.body.length),
      'Connection',
      'close',
    ],
    connectMs: CONNECT_TIMEOUT_MS,
    timeoutMs: ANSWER_TIMEOUT_MS,
    clock,
    maxBytes: MAX_ANSWER_BYTES,
  })
}

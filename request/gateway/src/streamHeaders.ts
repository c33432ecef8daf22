import type { KvSource } from './engineStream'
import type { GatewayWire } from './gatewayWire'

/** Returns the headers of a stream that goes on from a KV cache or after an event, as alternating names and values. */
export function streamHeaders(
  wire: GatewayWire,
  { source, resumeAfter }: { source?: KvSource; resumeAfter?: number },
): string[] {
  const { headers } = wire
  const fromSource =
    source === undefined ? [] : [headers.kvSource, wire.kvSource(source.at.endpoint.address, source.handle)]
  const afterEvent = resumeAfter === undefined ? [] : [headers.lastEventId, String(resumeAfter)]
  return [...fromSource, ...afterEvent]
}

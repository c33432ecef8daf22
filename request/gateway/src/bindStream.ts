import { originKeepMs } from './originKeepMs'
import type { RelayJob, RelayParts } from './relayParts'

/**
 * Binds a stream to the software version that made its first event, before the event is forwarded: from then on no other
 * version may continue the stream, neither in this answer nor for its caller's next attempt.
 */
export function bindStream(parts: RelayParts, job: RelayJob, version: string): void {
  const { route, service, stream } = job
  job.boundVersion ??= version
  if (stream === undefined) return
  const origin = { service: service.name, softwareVersion: job.boundVersion }
  parts.origins?.begin({ stream, ...origin, keepMs: originKeepMs(route) })
}

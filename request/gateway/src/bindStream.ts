import { versionOf, type RegisteredEndpoint } from '@forkstage/directory'
import { UNCERTAIN_VERSION } from '@forkstage/origins'
import { mayHaveRestarted } from './isVersionConfirmed'
import { originKeepMs } from './originKeepMs'
import type { RelayJob, RelayParts } from './relayParts'

/**
 * Binds a stream to the software version that made its first event, before the event is forwarded: from then on no other
 * version may continue the stream, neither in this answer nor for its caller's next attempt.
 * @param engine the record of the engine when the request was sent.
 */
export function bindStream(parts: RelayParts, job: RelayJob, engine: RegisteredEndpoint): void {
  const { route, service, stream } = job
  const isNew = job.boundVersion === undefined
  job.boundVersion ??= mayHaveRestarted(parts, engine) ? UNCERTAIN_VERSION : versionOf(engine)
  const keepMs = originKeepMs(route)
  const record = { stream, service: service.name, softwareVersion: job.boundVersion, keepMs }
  const setVersion = (version: string) => void (job.boundVersion = version)
  parts.origins?.begin(record, isNew ? { engine, setVersion } : undefined)
}

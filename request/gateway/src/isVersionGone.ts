import { NO_VERSION_REASON, NO_VERSION_RETRY_MS } from '@forkstage/allocator'
import type { Clock } from '@forkstage/clock'
import type { EndpointPool } from './endpointPool'
import type { ModelWork } from './modelPlacer'
import { REGISTERED_WITHIN_MS, type OriginClient } from './originClient'

/** The refusal of a stream whose version has no engine left. */
export const NO_VERSION_LEFT = { reason: NO_VERSION_REASON, retryAfterMs: NO_VERSION_RETRY_MS }

/** What {@link isVersionGone} depends on. */
export interface VersionView {
  pool: Pick<EndpointPool, 'hasVersion'>
  origins?: Pick<OriginClient, 'viewSince'>
  clock: Pick<Clock, 'now'>
}

/**
 * Whether registrations have reached this entry for long enough and show no engine of the version that began the stream. The
 * leader need not be asked then: this entry could not use an engine that it does not know.
 */
export function isVersionGone(
  { pool, origins, clock }: VersionView,
  { service, boundVersion }: Pick<ModelWork, 'service' | 'boundVersion'>,
): boolean {
  if (boundVersion === undefined || origins === undefined || pool.hasVersion(service, boundVersion))
    return false
  return clock.now() >= origins.viewSince() + REGISTERED_WITHIN_MS
}

import { versionOf, type InstanceId, type RegisteredEndpoint } from '@forkstage/directory'
import { LEAVING_GRACE_MS, LEAVING_REASON } from '@forkstage/statements'
import type { Millis } from '@forkstage/types'
import { isVersionConfirmed } from './isVersionConfirmed'
import type { RelayJob, RelayParts } from './relayParts'
import type { SendStep } from './sendCounter'

/**
 * Returns why a request must not be sent to an endpoint now; undefined if it may. Checked right before each sending, after
 * the endpoint was chosen, so that an earlier placement cannot override what has become known since.
 */
export type SendRule = (to: RegisteredEndpoint, job: RelayJob, step: SendStep) => string | undefined

/** The endpoint is in an evacuated failure domain. */
export const EVACUATED = 'evacuated'

/** The endpoint is reserved for the isolated trial of another request. */
export const RESERVED = 'kept free'

/** The placement dates from before this box was suspended. */
export const SUSPENDED = 'placed before a suspension'

/** The endpoint has another software version than the one that began the stream. */
export const OTHER_VERSION = 'another software version than the one that began the stream'

/** The endpoint may have restarted under its name with another software version. */
export const VERSION_UNCONFIRMED = 'the software version may have changed since it was registered'

/** The content of the request has crashed the endpoints that ran it. */
export const ENDS_ENDPOINTS = 'ends its endpoints'

/** Returns and logs the first reason why a request must not be sent to an endpoint now; undefined if it may. */
export function whyNotSend(
  parts: RelayParts,
  job: RelayJob,
  to: RegisteredEndpoint,
  step: SendStep,
): string | undefined {
  // The last three rules count the sending when they allow it, so they run after all others.
  // During a suspension the leader may have given the capacity of the placement to another request.
  const suspended: SendRule = (_to, { placedAt }) =>
    placedAt !== undefined && placedAt < parts.clock.suspendedAt() ? SUSPENDED : undefined
  const ends: SendRule = (_to, { request, service }) =>
    parts.crashes?.refusal(request, service.name) === undefined ? undefined : ENDS_ENDPOINTS
  const cold: SendRule = (endpoint, { request }, one) => parts.cold?.checkAndCount(endpoint, request.id, one)
  const limited: SendRule = (endpoint, { request }, one) =>
    parts.limits?.checkAndCount(endpoint, request.id, one)
  const stated: SendRule = ({ id }, { retainingEngine }) =>
    whyNotByStatement(parts, id, retainingEngine === id)
  const version: SendRule = (endpoint, { boundVersion }, one) =>
    one === 'decode' && boundVersion !== undefined ? whyNotVersion(parts, endpoint, boundVersion) : undefined
  for (const rule of [suspended, version, ...(parts.sendRules ?? []), ends, stated, cold, limited]) {
    const reason = rule(to, job, step)
    if (reason === undefined) continue
    parts.logger.info('send.withheld', { request: job.request.id, endpoint: to.id, step, reason })
    return reason
  }
  job.evacuationIndex = parts.evacuationIndex?.()
  return undefined
}

/** Returns why an endpoint must not continue a stream that a software version has begun; undefined if it may. */
function whyNotVersion(
  parts: RelayParts,
  endpoint: RegisteredEndpoint,
  boundVersion: string,
): string | undefined {
  if (versionOf(endpoint) !== boundVersion) return OTHER_VERSION
  return isVersionConfirmed(parts, endpoint) ? undefined : VERSION_UNCONFIRMED
}

/** Share of the serving time of a leaving endpoint in which a stopped run may resume there; the rest covers transit. */
const RESUME_SHARE = 0.75

/** Returns how long requests already placed at a leaving endpoint may be sent there; longer if it retains the run. */
export function leavingGraceMs({ leavingServesMs = 0 }: RelayParts, retainsRun: boolean): Millis {
  return retainsRun ? Math.max(LEAVING_GRACE_MS, leavingServesMs * RESUME_SHARE) : LEAVING_GRACE_MS
}

/**
 * Returns why the endpoint's own statement forbids a sending; otherwise records the sending and returns undefined. An earlier
 * placement does not override the statement, but an endpoint that leaves still gets placed requests for a grace period.
 */
function whyNotByStatement(parts: RelayParts, id: InstanceId, retainsRun: boolean): string | undefined {
  const { availability, clock } = parts
  const bound = availability?.unavailability(id)
  const leavingSince = availability?.leavingSince(id) ?? -Infinity
  const isJustLeaving =
    bound?.reason === LEAVING_REASON && clock.now() < leavingSince + leavingGraceMs(parts, retainsRun)
  if (bound !== undefined && !isJustLeaving) return bound.reason
  availability?.recordSent(id)
  return undefined
}

import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import { LEAVING_GRACE_MS, LEAVING_REASON } from '@forkstage/statements'
import type { Millis } from '@forkstage/types'
import type { RelayJob, RelayParts } from './relayParts'
import type { SendStep } from './sendCounter'

/**
 * Says why a request must not leave for an endpoint now; undefined where it may. Asked right before each sending, after
 * all choices, so that a place that was given a moment ago cannot break what has become known since.
 */
export type SendRule = (to: RegisteredEndpoint, job: RelayJob, step: SendStep) => string | undefined

/** Why nothing is sent to an endpoint of an evacuated failure domain. */
export const EVACUATED = 'evacuated'

/** Why nothing is sent to an endpoint that is kept free for what must run alone. */
export const KEPT_FREE = 'kept free'

/** Why a place is not used that was given before this machine was suspended. */
export const SUSPENDED = 'placed before a suspension'

/** Why nothing is sent of a request that has ended the endpoints that ran it. */
export const ENDS_ENDPOINTS = 'ends its endpoints'

/** The first reason why a request must not leave for an endpoint now, with a log line; undefined where it may. */
export function whyNotSend(
  parts: RelayParts,
  job: RelayJob,
  to: RegisteredEndpoint,
  step: SendStep,
): string | undefined {
  // The last three count where it may go on.
  // Whoever placed may have given the place to another meanwhile.
  const suspended: SendRule = (_to, { placedAt }) =>
    placedAt !== undefined && placedAt < parts.clock.suspendedAt() ? SUSPENDED : undefined
  const ends: SendRule = (_to, { request, service }) =>
    parts.crashes?.refusal(request.content, service.name) === undefined ? undefined : ENDS_ENDPOINTS
  const cold: SendRule = (endpoint, { request }, one) => parts.cold?.checkAndCount(endpoint, request.id, one)
  const limited: SendRule = (endpoint, { request }, one) =>
    parts.limits?.checkAndCount(endpoint, request.id, one)
  const stated: SendRule = ({ id }, { retainingEngine }) =>
    whyNotByStatement(parts, id, retainingEngine === id)
  for (const rule of [suspended, ...(parts.sendRules ?? []), ends, stated, cold, limited]) {
    const reason = rule(to, job, step)
    if (reason === undefined) continue
    parts.logger.info('send.withheld', { request: job.request.id, endpoint: to.id, step, reason })
    return reason
  }
  return undefined
}

/** Of the time that a leaving endpoint goes on serving, the part in which a stopped run goes back to it; the rest is for its way. */
const RESUME_SHARE = 0.75

/** How long what an endpoint that leaves had before may be sent there: what it keeps a stopped run's memory of, for longer. */
export function leavingGraceMs({ leavingServesMs = 0 }: RelayParts, retainsRun: boolean): Millis {
  return retainsRun ? Math.max(LEAVING_GRACE_MS, leavingServesMs * RESUME_SHARE) : LEAVING_GRACE_MS
}

/**
 * Why an endpoint's own word forbids it; where it does not, a sending leaves. A place that was given before the word is no
 * excuse, but what was to go on at one that leaves is let there for a moment.
 */
function whyNotByStatement(parts: RelayParts, id: InstanceId, retainsRun: boolean): string | undefined {
  const { statements, clock } = parts
  const bound = statements?.unavailability(id)
  const leavingSince = statements?.leavingSince(id) ?? -Infinity
  const isJustLeaving =
    bound?.reason === LEAVING_REASON && clock.now() < leavingSince + leavingGraceMs(parts, retainsRun)
  if (bound !== undefined && !isJustLeaving) return bound.reason
  statements?.recordSent(id)
  return undefined
}

import type { RegisteredEndpoint } from '@forkstage/directory'
import type { RelayJob, RelayParts } from './relayParts'
import type { SendStep } from './sendCount'

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
  // The last two count where it may go on.
  // Whoever placed may have given the place to another meanwhile.
  const suspended: SendRule = (_to, { placedAt }) =>
    placedAt !== undefined && placedAt < parts.clock.suspendedAt() ? SUSPENDED : undefined
  const ends: SendRule = (_to, { request }) =>
    parts.crashes?.refusal(request.content) === undefined ? undefined : ENDS_ENDPOINTS
  const cold: SendRule = (endpoint, { request }, one) => parts.cold?.whyNot(endpoint, request.id, one)
  const limited: SendRule = (endpoint, { request }, one) => parts.limits?.whyNot(endpoint, request.id, one)
  for (const rule of [suspended, ...(parts.sendRules ?? []), ends, cold, limited]) {
    const reason = rule(to, job, step)
    if (reason === undefined) continue
    parts.logger.info('send.withheld', { request: job.request.id, endpoint: to.id, step, reason })
    return reason
  }
  return undefined
}

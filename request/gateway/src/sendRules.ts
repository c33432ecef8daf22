import { versionOf, type InstanceId, type RegisteredEndpoint } from '@forkstage/directory'
import { LEAVING_GRACE_MS, LEAVING_REASON, RETRY_AFTER_REASON } from '@forkstage/statements'
import type { Millis } from '@forkstage/types'
import { isVersionConfirmed } from './isVersionConfirmed'
import type { RelayJob, RelayParts } from './relayParts'
import type { SendStep } from './sendCounter'
import { OUTLASTS_STOP } from './stopAdmission'
import { UnsentCounts, type Refund } from './unsentCounts'

/**
 * Returns why a request must not be sent to an endpoint now; undefined if it may. Checked right before each sending, after
 * the endpoint was chosen, so that an earlier placement cannot override what has become known since.
 */
export type SendRule = (to: RegisteredEndpoint, job: RelayJob, step: SendStep) => string | undefined

/** Counted by {@link whyNotSend}, for sendings that {@link whyNoLongerSend} withholds. */
const UNSENT = new UnsentCounts()

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

/** The endpoint has left, has crashed, or another process has taken its place. */
export const GONE = 'the endpoint is gone'

/**
 * Returns and logs the first reason why a request must not be sent to an endpoint now. If there is none, counts the sending
 * against the limits of the endpoint and returns undefined. Called once for each sending, before its connection is opened.
 */
export function whyNotSend(
  parts: RelayParts,
  job: RelayJob,
  to: RegisteredEndpoint,
  step: SendStep,
): string | undefined {
  const { availability, cold, limits } = parts
  const backoff: SendRule = ({ id }) =>
    availability?.unavailability(id)?.reason === RETRY_AFTER_REASON ? RETRY_AFTER_REASON : undefined
  // These two count the sending when they allow it, so they run after all others.
  const refunds: Refund[] = []
  const onCounted = (refund: Refund) => void refunds.push(refund)
  const { request } = job
  const isCold: SendRule = (endpoint) => cold?.checkAndCount(endpoint, request.id, step, onCounted)
  const isLimited: SendRule = (endpoint) => limits?.checkAndCount(endpoint, request.id, step, onCounted)
  const rules = [...standingRules(parts), backoff, isCold, isLimited]
  const reason = firstReason(parts, rules, { job, to, step })
  if (reason !== undefined) {
    refunds.forEach((refund) => refund())
    return reason
  }
  const closed = availability?.recordSent(to.id)
  if (closed !== undefined) onCounted(closed)
  UNSENT.record({ request, to: to.id, step }, refunds, parts.clock.now())
  job.evacuationIndex = parts.evacuationIndex?.()
  return undefined
}

/**
 * Returns and logs the first reason why a request that {@link whyNotSend} has allowed must not be sent any more. Checked once
 * its connection is open, right before its first byte. Leaves out what the sending itself has changed, the backoff and the
 * limits of the endpoint, and takes this back if there is a reason; if there is none, records the sending.
 */
export function whyNoLongerSend(
  parts: RelayParts,
  job: RelayJob,
  to: RegisteredEndpoint,
  step: SendStep,
): string | undefined {
  const reason = firstReason(parts, standingRules(parts), { job, to, step })
  if (reason === undefined) job.stop?.recordSent()
  else UNSENT.refund({ request: job.request, to: to.id, step }, parts.clock.suspendedAt())
  return reason
}

interface PlannedSending {
  job: RelayJob
  to: RegisteredEndpoint
  step: SendStep
}

function firstReason(
  { logger }: RelayParts,
  rules: SendRule[],
  { job, to, step }: PlannedSending,
): string | undefined {
  for (const rule of rules) {
    const reason = rule(to, job, step)
    if (reason === undefined) continue
    logger.info('send.withheld', { request: job.request.id, endpoint: to.id, step, reason })
    return reason
  }
  return undefined
}

/** The rules that hold at any time, whatever this entry has sent. */
function standingRules(parts: RelayParts): SendRule[] {
  // During a suspension the leader may have given the capacity of the placement to another request.
  const suspended: SendRule = (_to, { placedAt }) =>
    placedAt !== undefined && placedAt < parts.clock.suspendedAt() ? SUSPENDED : undefined
  const version: SendRule = (endpoint, { boundVersion }, step) =>
    step === 'decode' && boundVersion !== undefined ? whyNotVersion(parts, endpoint, boundVersion) : undefined
  const ends: SendRule = (_to, { request, service }) =>
    parts.crashes?.refusal(request, service.name) === undefined ? undefined : ENDS_ENDPOINTS
  const outlasts: SendRule = (_to, { stop }) => (stop?.isTooLate() === true ? OUTLASTS_STOP : undefined)
  const state: SendRule = ({ id }, { retainingEngine }) => whyNotByState(parts, id, retainingEngine === id)
  return [suspended, version, ...(parts.sendRules ?? []), ends, outlasts, state]
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
 * Returns why the state of an endpoint, by registrations or by its own answers, forbids a sending. An endpoint that leaves
 * still gets placed requests for a grace period.
 */
function whyNotByState(parts: RelayParts, id: InstanceId, retainsRun: boolean): string | undefined {
  const { availability, clock, pool } = parts
  const known = pool.get(id)
  if (known === undefined || known.isReplaced) return GONE
  const stated = availability?.leavingSince(id)
  const registered = known.endpoint.state === 'draining' ? (known.leavingSince ?? -Infinity) : undefined
  const leavingSince = Math.min(stated ?? Infinity, registered ?? Infinity)
  return clock.now() < leavingSince + leavingGraceMs(parts, retainsRun) ? undefined : LEAVING_REASON
}

import { delay } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { InRegion } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import type { RelayJob, RelayParts } from './relayParts'

/** An endpoint that is reserved for a request, when to ask again for one, or that none is needed. */
export type TrialPlacement =
  | { type: 'place'; at: InRegion<PooledEndpoint>; end: () => void }
  | { type: 'later'; retryAfterMs: Millis }
  | { type: 'anywhere' }

/** Refusal reason of a request that may only run in an isolated trial. */
export const MUST_BE_ISOLATED = 'must run alone'

/** Share of the remaining time that a request waits for a reserved endpoint, and the upper limit of that wait. */
const WAIT_SHARE = 0.5
const MAX_WAIT_MS: Millis = 1_000
const UNAVAILABLE_RETRY_MS: Millis = 1_000

/**
 * Asks the leader to reserve an endpoint for the isolated trial of a request that may crash its endpoint. Waits a while for
 * one, since the request was already lost twice and its callers are unlikely to retry once more.
 */
export async function isolatedPlace(
  parts: RelayParts,
  job: RelayJob,
  isOver: () => boolean,
): Promise<TrialPlacement> {
  const { clock } = parts
  const crashes = parts.crashes!
  const until = waitDeadline(parts, job)
  for (;;) {
    const answer = await crashes.askIsolated(job.request.content(), job.service.name)
    if (answer.type === 'granted') return reservedPlace(parts, job, answer.endpoint, isOver)
    if (answer.type !== 'later') return { type: 'anywhere' }
    if (isOver() || clock.now() + answer.retryAfterMs > until) return answer
    await delay(clock, answer.retryAfterMs)
  }
}

/**
 * Waits until the leader knows of no other run of the same content, then lets the request run at any endpoint. After a long
 * wait it runs nevertheless: by then a poison request would have crashed its endpoint and be recorded.
 */
export async function awaitTurn(
  parts: RelayParts,
  job: RelayJob,
  isNeeded: () => boolean,
  isOver: () => boolean,
): Promise<TrialPlacement> {
  const { clock } = parts
  const crashes = parts.crashes!
  const until = waitDeadline(parts, job)
  for (;;) {
    const answer = await crashes.askTurn(job.request.content(), job.service.name, job.request.id)
    if (answer.type === 'isolate') return isolatedPlace(parts, job, isOver)
    if (answer.type !== 'later' || clock.now() + answer.retryAfterMs > until) return { type: 'anywhere' }
    await delay(clock, answer.retryAfterMs)
    if (isOver() || !isNeeded()) return { type: 'anywhere' }
  }
}

/** Returns until when a request waits for what may crash its endpoint to be tried. */
export function waitDeadline({ clock }: RelayParts, { endsAt }: RelayJob): Millis {
  return clock.now() + Math.min(MAX_WAIT_MS, (endsAt - clock.now()) * WAIT_SHARE)
}

function reservedPlace(
  { crashes, pool }: RelayParts,
  job: RelayJob,
  endpoint: InstanceId,
  isOver: () => boolean,
): TrialPlacement {
  const end = () => crashes!.endIsolated(job.request.content(), job.service.name, endpoint)
  const at = pool.getWithinRegions(endpoint, job.regions())
  if (at !== undefined && !isOver()) return { type: 'place', at, end }
  end()
  return { type: 'later', retryAfterMs: UNAVAILABLE_RETRY_MS }
}

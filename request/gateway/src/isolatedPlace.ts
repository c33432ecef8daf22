import { delay } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import type { RelayJob, RelayParts } from './relayParts'

/** An endpoint that is kept free for a request, or when to come back for one. */
export type PermittedPlace =
  | { type: 'place'; at: AtHome<PooledEndpoint>; end: () => void }
  | { type: 'later'; retryAfterMs: Millis }
  | { type: 'anywhere' }

/** Why a request is refused that must run alone. */
export const MUST_BE_ISOLATED = 'must run alone'

/** The part of the time left that a request waits for an endpoint to be kept free, and the longest it does. */
const WAIT_SHARE = 0.5
const MAX_WAIT_MS: Millis = 1_000
const UNAVAILABLE_RETRY_MS: Millis = 1_000

/**
 * Asks the leader for an endpoint where a request runs alone that may end those that run it. It waits for that a while:
 * its callers have lost it twice by then, and hardly come back once more.
 */
export async function isolatedPlace(
  parts: RelayParts,
  job: RelayJob,
  isOver: () => boolean,
): Promise<PermittedPlace> {
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
 * Waits until no other run of a request's content is under way, as far as the leader knows, and then has it run anywhere. Where
 * the wait gets long it runs all the same: by then a poison request would have crashed its endpoint, and be known.
 */
export async function awaitTurn(
  parts: RelayParts,
  job: RelayJob,
  isNeeded: () => boolean,
  isOver: () => boolean,
): Promise<PermittedPlace> {
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

function waitDeadline({ clock }: RelayParts, { endsAt }: RelayJob): Millis {
  return clock.now() + Math.min(MAX_WAIT_MS, (endsAt - clock.now()) * WAIT_SHARE)
}

function reservedPlace(
  { crashes, pool }: RelayParts,
  job: RelayJob,
  endpoint: InstanceId,
  isOver: () => boolean,
): PermittedPlace {
  const end = () => crashes!.endIsolated(job.request.content(), job.service.name, endpoint)
  const at = pool.getWithinRegions(endpoint, job.homes())
  if (at !== undefined && !isOver()) return { type: 'place', at, end }
  end()
  return { type: 'later', retryAfterMs: UNAVAILABLE_RETRY_MS }
}

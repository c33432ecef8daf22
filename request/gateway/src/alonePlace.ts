import { delay } from '@forkstage/clock'
import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import type { RelayJob, RelayParts } from './relayParts'

/** An endpoint that is kept free for a request, or when to come back for one. */
export type AlonePlace =
  | { type: 'place'; at: AtHome<PooledEndpoint>; end: () => void }
  | { type: 'later'; retryAfterMs: Millis }
  | { type: 'anywhere' }

/** Why a request is refused that must run alone. */
export const MUST_RUN_ALONE = 'must run alone'

/** The part of the time left that a request waits for an endpoint to be kept free, and the longest it does. */
const WAIT_SHARE = 0.5
const MOST_WAIT_MS: Millis = 1_000
const AWAY_RETRY_MS: Millis = 1_000

/**
 * Asks the leader for an endpoint where a request runs alone that may end those that run it. It waits for that a while:
 * its callers have lost it twice by then, and hardly come back once more.
 */
export async function alonePlace(
  parts: RelayParts,
  job: RelayJob,
  isOver: () => boolean,
): Promise<AlonePlace> {
  const { clock, pool } = parts
  const crashes = parts.crashes!
  const content = job.request.content()
  const service = job.service.name
  const until = clock.now() + Math.min(MOST_WAIT_MS, (job.endsAt - clock.now()) * WAIT_SHARE)
  for (;;) {
    const answer = await crashes.askAlone(content, service)
    if (answer.type === 'anywhere') return answer
    if (answer.type === 'later') {
      if (isOver() || clock.now() + answer.retryAfterMs > until) return answer
      await delay(clock, answer.retryAfterMs)
      continue
    }
    const end = () => crashes.noteAloneEnd(content, service, answer.endpoint)
    const at = pool.atHome(answer.endpoint, job.homes())
    if (at !== undefined && !isOver()) return { type: 'place', at, end }
    end()
    return { type: 'later', retryAfterMs: AWAY_RETRY_MS }
  }
}

import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { ConcurrencyLimit } from './concurrencyLimit'

/** An instance and what this entry has observed of it. */
export interface PooledEndpoint {
  endpoint: RegisteredEndpoint
  /** Requests of this entry in progress there. */
  inFlight: number
  /** Tokens that those requests may come to hold. */
  tokens: number
  /** Moving average of the duration of answers, in milliseconds. */
  meanMs: Millis
  /** Time of the last successful answer; -Infinity before the first. */
  answeredAt: Millis
  /** Consecutive failures. */
  failures: number
  /** When a connection to it was last lost or refused; -Infinity before. */
  lostAt: Millis
  /** Gets no work before this time while other instances can. */
  ejectedUntil: Millis
  /** Limits this entry's concurrent plain requests there. */
  limit: ConcurrencyLimit
  /** Whether another process was found at its address. */
  isReplaced: boolean
  /** When this entry learned that the instance is leaving; absent until then. */
  leavingSince?: Millis
  /** Whether the instance itself announced in an answer that it is leaving, which no endpoint list revokes. */
  hasAnnouncedLeaving: boolean
  /** Called with a reason when its process is found to have ended. */
  endListeners: Set<(reason: string) => void>
}

/** Returns the record of an instance that is leaving. */
export function draining(endpoint: RegisteredEndpoint): RegisteredEndpoint {
  return endpoint.state === 'ready' ? { ...endpoint, state: 'draining' } : endpoint
}

/** Whether an instance takes new requests, as far as this entry knows. */
export function acceptsWork(one: PooledEndpoint): boolean {
  return one.endpoint.state === 'ready' && !one.isReplaced
}

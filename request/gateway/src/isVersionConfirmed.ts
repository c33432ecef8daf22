import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { REGISTERED_WITHIN_MS } from './originClient'
import type { RelayParts } from './relayParts'

/** An endpoint that restarts registers at once; the call may meet a control machine that does not answer. */
const RESTART_REGISTERED_WITHIN_MS: Millis = 1_000

/**
 * Whether an endpoint may have restarted under its name, with another software version, while no control machine could tell.
 * Without a start time the id is that of one process, which a restarted one does not answer to. Where the service has had one
 * version lately, a restart is taken to keep it.
 */
export function mayHaveRestarted(
  { clock, origins }: RelayParts,
  { born, service }: RegisteredEndpoint,
): boolean {
  if (born === undefined || origins === undefined || origins.hasOneVersion(service)) return false
  return clock.now() < origins.viewSince() + REGISTERED_WITHIN_MS
}

/**
 * Whether the process at an endpoint is certainly the one that has registered its software version, so that it may continue a
 * stream: it may also have restarted since it last broke off or refused a connection.
 */
export function isVersionConfirmed(parts: RelayParts, endpoint: RegisteredEndpoint): boolean {
  const { id, born, service } = endpoint
  if (mayHaveRestarted(parts, endpoint)) return false
  if (born === undefined || parts.origins?.hasOneVersion(service) === true) return true
  // Whatever answers at its address now is a process that has not registered yet.
  if (parts.crashes?.hasCrashed(id) === true) return false
  const lostAt = parts.pool.get(id)?.lostAt ?? -Infinity
  return parts.clock.now() >= lostAt + RESTART_REGISTERED_WITHIN_MS
}

import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** What a control machine's replica knows of its group's leader. */
export interface ReplicaLeadership {
  leads: boolean
  holdsLease: boolean
  leaderContactAt: Millis
  leaderAddress: Address | undefined
}

/** Messages sent before a suspension can arrive this long after it and say nothing of the present leader. */
const STALE_MESSAGE_MS = 100

/**
 * Returns the leader's address: this machine's own if it leads and holds the lease, another one if its last contact is more
 * recent than the election timeout, otherwise undefined.
 */
export function knownLeader(
  replica: ReplicaLeadership,
  self: Address,
  electionTimeoutMs: Millis,
  clock: Clock,
): Address | undefined {
  if (replica.leads) return replica.holdsLease ? self : undefined
  const contactAt = replica.leaderContactAt
  const isAfterSuspension = contactAt >= clock.suspendedAt() + STALE_MESSAGE_MS
  return isAfterSuspension && clock.now() - contactAt < electionTimeoutMs ? replica.leaderAddress : undefined
}

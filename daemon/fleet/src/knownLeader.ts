import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** What a control machine's replica knows of who leads. */
export interface ReplicaLeadership {
  leads: boolean
  holdsLease: boolean
  leaderContactAt: Millis
  leaderAddress: Address | undefined
}

/** What was on its way before a suspension arrives right after it, and says nothing of now. */
const STALE_MESSAGE_MS = 100

/** The leader, while this machine leads with its lease or has heard who does for less than an election takes. */
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

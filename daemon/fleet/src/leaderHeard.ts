import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** What a control machine's replica knows of who leads. */
export interface LeadView {
  leads: boolean
  holdsLease: boolean
  leaderContactAt: Millis
  leaderAddress: Address | undefined
}

/** What was on its way before a suspension arrives right after it, and says nothing of now. */
const LATE_ARRIVALS_MS = 100

/** The leader, while this machine leads with its lease or has heard who does for less than an election takes. */
export function leaderHeard(
  replica: LeadView,
  self: Address,
  electionTimeoutMs: Millis,
  clock: Clock,
): Address | undefined {
  if (replica.leads) return replica.holdsLease ? self : undefined
  const heardAt = replica.leaderContactAt
  const isSince = heardAt >= clock.suspendedAt() + LATE_ARRIVALS_MS
  return isSince && clock.now() - heardAt < electionTimeoutMs ? replica.leaderAddress : undefined
}

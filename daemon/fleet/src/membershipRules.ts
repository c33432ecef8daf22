import type { FleetSettings } from '@forkstage/fleet-settings'
import type { MembershipRules } from '@forkstage/keeper'

/** How long a request to join the group is valid; it is repeated several times a second. */
const JOIN_REQUEST_TTL_MS = 1_000

/** Returns the membership rules of the group of control machines, from the settings. */
export function membershipRules({ control }: FleetSettings): MembershipRules {
  const { losses, domain_losses: domainLosses, silent_ms: silentMs } = control
  return { requiredVoters: losses * 2 + 1, domainLosses, silentMs, joinRequestTtlMs: JOIN_REQUEST_TTL_MS }
}

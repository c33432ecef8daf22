import type { FleetSettings } from '@forkstage/fleet-settings'
import type { MembershipRules } from '@forkstage/keeper'

/** How long a question to belong to the group is believed, in milliseconds: it is asked several times a second. */
const JOIN_REQUEST_TTL_MS = 1_000

/** What the group of control machines has to bear, by the settings. */
export function membershipRules({ control }: FleetSettings): MembershipRules {
  const { losses, domain_losses: domainLosses, silent_ms: silentMs } = control
  return { requiredVoters: losses * 2 + 1, domainLosses, silentMs, joinRequestTtlMs: JOIN_REQUEST_TTL_MS }
}

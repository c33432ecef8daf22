import type { Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain } from '@forkstage/types'

/** The inputs that decide whether a group tolerates the loss of failure domains. */
export interface SpreadRules {
  /** Number of failure domains whose simultaneous loss is to be tolerated; 0 if none. */
  domainLosses: number
  /** Whether a voter is live; a silent voter contributes to no majority. */
  isLive: (replica: ReplicaId) => boolean
  /** The failure domain of a member; undefined if unknown. */
  domainOf: (member: Member) => FailureDomain | undefined
}

/**
 * Returns the number of voters missing for a majority after the loss of the failure domains with the most live voters;
 * 0 or less if that loss is tolerated. A voter of unknown domain counts as lost, since it may be in a lost domain.
 */
export function missingAfterLoss(
  voters: readonly Member[],
  { domainLosses, isLive, domainOf }: SpreadRules,
): number {
  const live = voters.filter(({ replica }) => isLive(replica))
  const known = countByDomain(live, domainOf)
  const unknown = live.length - sum(known.values())
  const largest = [...known.values()].sort((left, right) => right - left).slice(0, domainLosses)
  const surviving = live.length - (domainLosses === 0 ? 0 : unknown + sum(largest))
  return Math.floor(voters.length / 2) + 1 - surviving
}

/** Returns the number of members in each known failure domain. */
export function countByDomain(
  members: readonly Member[],
  domainOf: SpreadRules['domainOf'],
): Map<FailureDomain, number> {
  const counts = new Map<FailureDomain, number>()
  for (const member of members) {
    const domain = domainOf(member)
    if (domain !== undefined) counts.set(domain, (counts.get(domain) ?? 0) + 1)
  }
  return counts
}

function sum(numbers: Iterable<number>): number {
  let all = 0
  for (const one of numbers) all += one
  return all
}

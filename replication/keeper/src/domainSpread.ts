import type { Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain } from '@forkstage/types'

/** What decides whether a group outlives the loss of failure domains. */
export interface SpreadRules {
  /** Failure domains that may be lost at once; 0 where that need not be borne. */
  domainLosses: number
  /** Whether a voter counts: one that is silent helps no majority. */
  isLive: (replica: ReplicaId) => boolean
  /** The failure domain of a member; undefined where nobody has said it. */
  domainOf: (member: Member) => FailureDomain | undefined
}

/**
 * Voters that are missing for a majority after the loss of the failure domains with the most live voters; 0 or less
 * where their loss is borne. A voter whose domain is unknown may lie in any of those that are lost.
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

/** How many members each known failure domain has. */
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

import type { ConfigChange, GroupConfig, Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain, Millis } from '@forkstage/types'
import { countByDomain, missingAfterLoss, type SpreadRules } from './domainSpread'

/** What the leader knows of its group when it plans a membership change. */
export interface MembershipView {
  config: GroupConfig
  self: ReplicaId
  lastIndex: number
  /** Replicas that have asked to join, with the time of their last request. */
  joinRequests: { member: Member; at: Millis }[]
  /** The last synced index of each replica. */
  matches: Record<ReplicaId, number>
  /** Sending time of the newest message that each replica replied to; absent or -Infinity if none in this term. */
  ackedSentAt: Record<ReplicaId, Millis>
  /** When this replica became the leader. */
  leaderSince: Millis
  now: Millis
}

/** The losses that the group should tolerate, and when a replica counts as lost. */
export interface MembershipRules {
  /** Number of voters required to tolerate the losses that the deployment allows at once. */
  requiredVoters: number
  /** Number of failure domains whose simultaneous loss should leave a majority; 0 if absent. */
  domainLosses?: number
  /** A voter that was silent for longer is removed if there are enough voters without it. */
  silentMs: Millis
  /** How long a join request is valid. */
  joinRequestTtlMs: Millis
}

/** How well the group tolerates the loss of failure domains. */
export interface DomainTolerance {
  /** Number of live voters missing for a majority after the loss to tolerate; 0 or less if it is tolerated. */
  missing: number
  /** Number of live voters by failure domain, without those whose domain is unknown. */
  voters: Record<FailureDomain, number>
}

/** A learner that lags further behind the leader is not promoted yet. */
const MAX_PROMOTION_LAG_ENTRIES = 16

/**
 * Decides the next change of a group's membership, by one replica; undefined if none is needed.
 * A replica that asks to join becomes a voter, then the replica that it replaces is removed. In this order every step
 * keeps a majority of replicas that hold the acknowledged entries. If the loss of failure domains should be tolerated,
 * a learner whose domain would be overrepresented waits while there are enough voters, and a surplus voter of an
 * overrepresented domain is removed.
 */
export function planMembership(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  return (
    // First, since a group filled with further voters of the same domain cannot be rebalanced one replica at a time.
    removeOverrepresented(view, rules) ??
    promoteLearner(view, rules) ??
    removeReplaced(view) ??
    addJoiningLearner(view, rules) ??
    removeSilent(view, rules)
  )
}

/** How well the group tolerates the loss of failure domains; undefined if no loss is to be tolerated. */
export function domainTolerance(view: MembershipView, rules: MembershipRules): DomainTolerance | undefined {
  const spread = spreadRules(view, rules)
  if (spread.domainLosses === 0) return undefined
  const { voters } = view.config
  const live = voters.filter(({ replica }) => spread.isLive(replica))
  const counts = Object.fromEntries(countByDomain(live, spread.domainOf))
  return { missing: missingAfterLoss(voters, spread), voters: counts }
}

function spreadRules(view: MembershipView, rules: MembershipRules): SpreadRules {
  return {
    domainLosses: rules.domainLosses ?? 0,
    isLive: (replica) => !isSilent(view, rules, replica),
    domainOf: (member) => domainOf(view, member),
  }
}

/** The domain in the log or, if the log has none, in the member's join request; undefined if unknown. */
function domainOf(view: MembershipView, member: Member): FailureDomain | undefined {
  if (member.domain !== undefined) return member.domain
  return view.joinRequests.find((one) => one.member.replica === member.replica)?.member.domain
}

function hasRecentJoinRequest(view: MembershipView, rules: MembershipRules, replica: ReplicaId): boolean {
  return view.joinRequests.some(
    ({ member, at }) => member.replica === replica && view.now - at <= rules.joinRequestTtlMs,
  )
}

function isSilent(view: MembershipView, rules: MembershipRules, replica: ReplicaId): boolean {
  if (replica === view.self) return false
  const lastAckedAt = Math.max(view.ackedSentAt[replica] ?? -Infinity, view.leaderSince)
  return view.now - lastAckedAt > rules.silentMs
}

function promoteLearner(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const ready = view.config.learners.filter((learner) => {
    const lagEntries = view.lastIndex - (view.matches[learner.replica] ?? -Infinity)
    const isReady =
      lagEntries <= MAX_PROMOTION_LAG_ENTRIES && hasRecentJoinRequest(view, rules, learner.replica)
    return isReady && !shouldDeferPromotion(view, rules, learner)
  })
  const best = (rules.domainLosses ?? 0) === 0 ? ready[0] : pickLeastRepresented(view, ready)
  return best === undefined ? undefined : { type: 'promote', replica: best.replica }
}

/** The member whose failure domain has the fewest voters, the first of equals; undefined if there are no members. */
function pickLeastRepresented(view: MembershipView, members: Member[]): Member | undefined {
  const counts = countByDomain(view.config.voters, (voter) => domainOf(view, voter))
  const votersInDomainOf = (member: Member) => {
    const domain = domainOf(view, member)
    return domain === undefined ? Infinity : (counts.get(domain) ?? 0)
  }
  return members.reduce<Member | undefined>(
    (best, one) => (best === undefined || votersInDomainOf(one) < votersInDomainOf(best) ? one : best),
    undefined,
  )
}

/**
 * Whether promoting a learner would reduce the tolerance of domain losses. False if there are fewer live voters than
 * required, and for a learner that replaces a voter whose disk is lost.
 */
function shouldDeferPromotion(view: MembershipView, rules: MembershipRules, learner: Member): boolean {
  const spread = spreadRules(view, rules)
  const { voters } = view.config
  const live = voters.filter(({ replica }) => spread.isLive(replica))
  if (spread.domainLosses === 0 || live.length < rules.requiredVoters) return false
  if (voters.some(({ address }) => address === learner.address)) return false
  return missingAfterLoss([...voters, learner], spread) > missingAfterLoss(voters, spread)
}

/** Removes a member whose address belongs to a voter that replied later: its disk is lost, and so is its identity. */
function removeReplaced(view: MembershipView): ConfigChange | undefined {
  const { voters, learners } = view.config
  const lastAckedAt = (replica: ReplicaId) =>
    replica === view.self ? Infinity : (view.ackedSentAt[replica] ?? -Infinity)
  const replaced = [...learners, ...voters].find((member) =>
    voters.some(
      (other) =>
        other.address === member.address &&
        other.replica !== member.replica &&
        lastAckedAt(other.replica) > lastAckedAt(member.replica),
    ),
  )
  return replaced === undefined ? undefined : { type: 'remove', replica: replaced.replica }
}

function addJoiningLearner(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const known = new Set([...view.config.voters, ...view.config.learners].map((member) => member.replica))
  const joining = view.joinRequests
    .filter(({ member, at }) => !known.has(member.replica) && view.now - at <= rules.joinRequestTtlMs)
    .map(({ member }) => member)
  const member = (rules.domainLosses ?? 0) === 0 ? joining[0] : pickLeastRepresented(view, joining)
  return member === undefined ? undefined : { type: 'addLearner', member }
}

function removeSilent(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const { voters, learners } = view.config
  const silentLearner = learners.find(({ replica }) => isSilent(view, rules, replica))
  if (silentLearner !== undefined) return { type: 'remove', replica: silentLearner.replica }
  const live = voters.filter(({ replica }) => !isSilent(view, rules, replica))
  const silent = voters.find(({ replica }) => isSilent(view, rules, replica))
  if (silent === undefined || live.length < rules.requiredVoters) return undefined
  return { type: 'remove', replica: silent.replica }
}

/**
 * Removes a surplus voter without which the group tolerates domain losses better. Only while all voters respond, so that
 * no healthy voter is removed while another one may just have been lost.
 */
function removeOverrepresented(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const spread = spreadRules(view, rules)
  const { voters } = view.config
  if (spread.domainLosses === 0 || voters.length <= rules.requiredVoters) return undefined
  const isResponsive = (replica: ReplicaId) =>
    !isSilent(view, { ...rules, silentMs: rules.joinRequestTtlMs }, replica)
  if (!voters.every(({ replica }) => isResponsive(replica)) || removeReplaced(view) !== undefined)
    return undefined
  const missing = missingAfterLoss(voters, spread)
  if (missing <= 0) return undefined
  const without = (member: Member) => voters.filter((other) => other !== member)
  const better = voters
    .filter((voter) => voter.replica !== view.self)
    .map((voter) => ({ voter, missing: missingAfterLoss(without(voter), spread) }))
    .filter((one) => one.missing < missing)
    .sort((left, right) => left.missing - right.missing)
  return better[0] === undefined ? undefined : { type: 'remove', replica: better[0].voter.replica }
}

import type { ConfigChange, GroupConfig, Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain, Millis } from '@forkstage/types'
import { countByDomain, missingAfterLoss, type SpreadRules } from './domainSpread'

/** What the leader knows when it looks at its group. */
export interface MembershipView {
  config: GroupConfig
  self: ReplicaId
  lastIndex: number
  /** Replicas that have asked to belong, with the time of their last question. */
  joinRequests: { member: Member; at: Millis }[]
  /** The last synced index of each replica. */
  matches: Record<ReplicaId, number>
  /** When each replica was last heard; absent for one never heard in this term. */
  ackedSentAt: Record<ReplicaId, Millis>
  /** Since when this replica leads. */
  leaderSince: Millis
  now: Millis
}

/** What the group should bear. */
export interface MembershipRules {
  /** Voters that are enough to bear the losses that the deployment allows at once. */
  requiredVoters: number
  /** Failure domains whose loss at once should leave a majority; 0 where left out. */
  domainLosses?: number
  /** A voter that was silent this long may make room, where there are enough without it. */
  silentMs: Millis
  /** A question to belong is believed this long. */
  joinRequestTtlMs: Millis
}

/** How the group's voters lie over failure domains. */
export interface DomainTolerance {
  /** Live voters that are missing for a majority after the loss that should be borne; 0 or less where it is borne. */
  missing: number
  /** Live voters by failure domain; those whose domain is unknown are left out. */
  voters: Record<FailureDomain, number>
}

/** Entries that a learner may be behind and still become a voter. */
const MAX_PROMOTION_LAG_ENTRIES = 16

/**
 * Decides the next change of a group's membership, one replica at a time, or none.
 * Whoever asks becomes a voter; then whoever it replaced leaves. In this order every step keeps a majority
 * of replicas that hold what was acknowledged. Where the loss of failure domains should be borne, a learner that would
 * crowd one of them waits while there are enough voters, and a voter too many of a crowded one leaves.
 */
export function planMembership(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  return (
    // First, so that a group is not filled with others of the same domain, from which one by one leads out no more.
    removeOverrepresented(view, rules) ??
    promoteLearner(view, rules) ??
    removeReplaced(view) ??
    addJoiningLearner(view, rules) ??
    removeSilent(view, rules)
  )
}

/** Whether the group outlives the loss of failure domains; undefined where that need not be borne. */
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

/** A member of an older log may have said its domain since. */
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

/** The member whose failure domain has the fewest voters; the first among equals. */
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
 * Whether a learner would only bring the loss of its failure domain closer. Never where there are fewer live voters
 * than enough, and never for one that takes the place of a voter whose disk is gone.
 */
function shouldDeferPromotion(view: MembershipView, rules: MembershipRules, learner: Member): boolean {
  const spread = spreadRules(view, rules)
  const { voters } = view.config
  const live = voters.filter(({ replica }) => spread.isLive(replica))
  if (spread.domainLosses === 0 || live.length < rules.requiredVoters) return false
  if (voters.some(({ address }) => address === learner.address)) return false
  return missingAfterLoss([...voters, learner], spread) > missingAfterLoss(voters, spread)
}

/** A voter whose address another voter has now: its disk is gone, and with it the identity. */
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
 * A voter more than enough whose leaving brings the loss of failure domains closer to being borne. Only while all voters
 * are heard: a sound one must not leave for one that may just have been lost.
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

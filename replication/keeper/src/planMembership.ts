import type { ConfigChange, GroupConfig, Member, ReplicaId } from '@forkstage/raft'
import type { Millis } from '@forkstage/types'

/** What the leader knows when it looks at its group. */
export interface MembershipView {
  config: GroupConfig
  self: ReplicaId
  lastIndex: number
  /** Replicas that have asked to belong, with the time of their last question. */
  asking: { member: Member; at: Millis }[]
  /** The last synced index of each replica. */
  matches: Record<ReplicaId, number>
  /** When each replica was last heard; absent for one never heard in this term. */
  heardAt: Record<ReplicaId, Millis>
  /** Since when this replica leads. */
  leaderSince: Millis
  now: Millis
}

/** What the group should bear. */
export interface MembershipRules {
  /** Voters that are enough to bear the losses that the deployment allows at once. */
  enoughVoters: number
  /** A voter that was silent this long may make room, where there are enough without it. */
  silentMs: Millis
  /** A question to belong is believed this long. */
  askingMs: Millis
}

/** Entries that a learner may be behind and still become a voter. */
const CLOSE_ENOUGH = 16

/**
 * Decides the next change of a group's membership, one replica at a time, or none.
 * Whoever asks becomes a voter; then whoever it replaced leaves. In this order every step keeps a majority
 * of replicas that hold what was acknowledged.
 */
export function planMembership(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  return (
    promoteLearner(view, rules) ?? removeReplaced(view) ?? addAsking(view, rules) ?? removeSilent(view, rules)
  )
}

function isAsking(view: MembershipView, rules: MembershipRules, replica: ReplicaId): boolean {
  return view.asking.some(({ member, at }) => member.replica === replica && view.now - at <= rules.askingMs)
}

function promoteLearner(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const ready = view.config.learners.find((learner) => {
    const behind = view.lastIndex - (view.matches[learner.replica] ?? -Infinity)
    return behind <= CLOSE_ENOUGH && isAsking(view, rules, learner.replica)
  })
  return ready === undefined ? undefined : { type: 'promote', replica: ready.replica }
}

/** A voter whose address another voter has now: its disk is gone, and with it the identity. */
function removeReplaced(view: MembershipView): ConfigChange | undefined {
  const { voters, learners } = view.config
  const heard = (replica: ReplicaId) =>
    replica === view.self ? Infinity : (view.heardAt[replica] ?? -Infinity)
  const replaced = [...learners, ...voters].find((member) =>
    voters.some(
      (other) =>
        other.address === member.address &&
        other.replica !== member.replica &&
        heard(other.replica) > heard(member.replica),
    ),
  )
  return replaced === undefined ? undefined : { type: 'remove', replica: replaced.replica }
}

function addAsking(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const known = new Set([...view.config.voters, ...view.config.learners].map((member) => member.replica))
  const fresh = view.asking.find(
    ({ member, at }) => !known.has(member.replica) && view.now - at <= rules.askingMs,
  )
  return fresh === undefined ? undefined : { type: 'addLearner', member: fresh.member }
}

function removeSilent(view: MembershipView, rules: MembershipRules): ConfigChange | undefined {
  const { voters, learners } = view.config
  const isSilent = (member: Member) =>
    member.replica !== view.self &&
    view.now - Math.max(view.heardAt[member.replica] ?? -Infinity, view.leaderSince) > rules.silentMs
  const silentLearner = learners.find(isSilent)
  if (silentLearner !== undefined) return { type: 'remove', replica: silentLearner.replica }
  const live = voters.filter((voter) => !isSilent(voter))
  const silent = voters.find(isSilent)
  if (silent === undefined || live.length < rules.enoughVoters) return undefined
  return { type: 'remove', replica: silent.replica }
}

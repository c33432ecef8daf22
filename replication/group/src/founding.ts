import type { GroupConfig, Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain } from '@forkstage/types'

/** What a box answers when asked who its replica of a group is. */
export interface IdentityAnswer {
  replica: ReplicaId
  box: string
  address: string
  /** Absent from machines that do not tell it. */
  domain?: FailureDomain
  /** The configuration it started from; absent while the replica is empty. */
  founding?: GroupConfig
  /** The newest configuration it knows of. */
  config?: GroupConfig
}

/** What an empty replica does next. */
export type FoundingDecision =
  | { type: 'wait' }
  /** Start from this configuration, of which the replica is a voter. */
  | { type: 'found'; config: GroupConfig }
  /** The group exists without this replica: wait to be added as a learner. */
  | { type: 'join' }

/**
 * Decides how an empty replica begins. A group is founded once, by the first box in name order, when
 * every first replica has answered and all are empty; the others take over what was founded, if their
 * own identity is in it. A replica whose disk was lost has a new identity and so can only join.
 */
export function decideFounding(self: Member, answers: (IdentityAnswer | undefined)[]): FoundingDecision {
  const known = answers.filter((answer) => answer !== undefined)
  const founded = known.find((answer) => answer.founding !== undefined)
  if (founded?.founding !== undefined) {
    const included = founded.founding.voters.some((voter) => voter.replica === self.replica)
    return included ? { type: 'found', config: founded.founding } : { type: 'join' }
  }
  if (known.length < answers.length) return { type: 'wait' }
  const voters = known.map(({ replica, box, address, domain }) => ({ replica, box, address, domain }))
  voters.sort((left, right) => (left.box < right.box ? -1 : 1))
  if (voters[0]?.replica !== self.replica) return { type: 'wait' }
  return { type: 'found', config: { voters, learners: [] } }
}

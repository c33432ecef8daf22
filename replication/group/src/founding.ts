import type { GroupConfig, Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain } from '@forkstage/types'

/** A box's answer to the question which replica of a group it has. */
export interface IdentityAnswer {
  replica: ReplicaId
  box: string
  address: string
  /** Absent if the machine reports no failure domain. */
  domain?: FailureDomain
  /** The configuration that the replica started from; absent while it is empty. */
  founding?: GroupConfig
  /** The newest configuration that the replica has; absent until it runs. */
  config?: GroupConfig
}

/** What an empty replica is to do next. */
export type FoundingDecision =
  | { type: 'wait' }
  /** Start from this configuration, of which the replica is a voter. */
  | { type: 'found'; config: GroupConfig }
  /** The group exists without this replica: wait to be added as a learner. */
  | { type: 'join' }

/**
 * Decides how an empty replica starts. The first box by name founds the group, once every first replica has
 * answered and all are empty. The other replicas start from the founded configuration if it contains their identity.
 * A replica that lost its disk has a new identity and so can only join.
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

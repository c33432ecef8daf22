import type { GroupConfig, Member, ReplicaId } from '@forkstage/raft'
import type { FailureDomain } from '@forkstage/types'

/** A box's answer to the question which replica of a group it has. */
export interface IdentityAnswer {
  replica: ReplicaId
  box: string
  address: string
  /** Absent if the machine reports no failure domain. */
  domain?: FailureDomain
  /** Whether the replica may found the group; absent in answers of earlier versions, whose replicas may. */
  mayFound?: boolean
  /** The configuration that the replica started from; absent while it is empty. */
  founding?: GroupConfig
  /** The newest configuration that the replica has; absent until it runs. */
  config?: GroupConfig
}

/** What an empty replica is to do next. */
export type FoundingDecision =
  | { type: 'wait' }
  /** Ask again at once, and found the group if the answers are the same. */
  | { type: 'confirm' }
  /** Start from this configuration, of which the replica is a voter. */
  | { type: 'found'; config: GroupConfig }
  /** The group exists without this replica: wait to be added as a learner. */
  | { type: 'join' }

/**
 * Decides how an empty replica starts. The first box by name of those that may found the group founds it, once every first
 * replica has answered and all are empty. The other replicas start from the founded configuration if it contains their
 * identity. A replica that lost its disk has a new identity and so can only join.
 */
export function decideFounding(self: Member, answers: (IdentityAnswer | undefined)[]): FoundingDecision {
  const known = answers.filter((answer) => answer !== undefined)
  const founded = known.find((answer) => answer.founding !== undefined)
  if (founded?.founding !== undefined) {
    const included = founded.founding.voters.some((voter) => voter.replica === self.replica)
    return included ? { type: 'found', config: founded.founding } : { type: 'join' }
  }
  if (known.length < answers.length) return { type: 'wait' }
  const inOrder = known.toSorted((left, right) => (left.box < right.box ? -1 : 1))
  const founder = inOrder.find(({ mayFound }) => mayFound !== false)
  if (founder?.replica !== self.replica) return { type: 'wait' }
  const voters = inOrder.map(({ replica, box, address, domain }) => ({ replica, box, address, domain }))
  return { type: 'found', config: { voters, learners: [] } }
}

/**
 * The decision of an empty replica over successive rounds of answers. It founds the group only if two rounds in a row agree:
 * the answers of one round come from different moments, and a replica may have started from another founding in between.
 */
export class FoundingRounds {
  private proposed: string | undefined

  /** Decides after a round of answers, the own one among them. */
  decide(self: Member, answers: (IdentityAnswer | undefined)[]): FoundingDecision {
    const decision = decideFounding(self, answers)
    const isOwnFounding = answers.every((answer) => answer?.founding === undefined)
    if (decision.type !== 'found' || !isOwnFounding) {
      this.proposed = undefined
      return decision
    }
    const voters = decision.config.voters.map(({ replica }) => replica).join()
    const isConfirmed = voters === this.proposed
    this.proposed = voters
    return isConfirmed ? decision : { type: 'confirm' }
  }
}

import { ForkstageError } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import { findMember, send, type RaftState } from './raftState'
import { appendAsLeader, broadcastAppend, progressOf } from './replicate'
import type { GroupConfig, LogEntry, Member, ReplicaId } from './types'

/** A change of the group's membership, by one replica. */
export type ConfigChange =
  | { type: 'addLearner'; member: Member }
  | { type: 'promote'; replica: ReplicaId }
  | { type: 'remove'; replica: ReplicaId }

/** Raised when a membership change cannot be made now. */
export class ReconfigurationError extends ForkstageError {
  constructor(message: string, hint: string) {
    super('FORKSTAGE_RECONFIGURATION', message, hint, { step: 'reconfigure' })
  }
}

/** A learner that lags further behind the leader is not promoted. */
const MAX_LEARNER_LAG_ENTRIES = 64

/** Proposes a membership change as the leader. The new configuration applies as soon as its entry is appended. */
export function proposeConfig(state: RaftState, change: ConfigChange, now: Millis): LogEntry {
  assertCanChange(state)
  const config = changeConfig(state, change)
  const entry = appendAsLeader(state, 'config', config)
  broadcastAppend(state, now)
  return entry
}

function assertCanChange(state: RaftState): void {
  const retry = 'Try again in a moment.'
  if (state.role !== 'leader') throw new ReconfigurationError('This replica is not the leader.', retry)
  if (state.log.configIndex > state.commitIndex)
    throw new ReconfigurationError('An earlier membership change is not committed yet.', retry)
  if (state.log.termAt(state.commitIndex) !== state.term)
    throw new ReconfigurationError('The leader has not committed an entry of its own term yet.', retry)
}

function changeConfig(state: RaftState, change: ConfigChange): GroupConfig {
  const { voters, learners } = state.log.config
  if (change.type === 'addLearner') return addLearner(state, change.member)
  if (change.type === 'promote') return promote(state, change.replica)
  const known = findMember(state, change.replica)
  if (known === undefined)
    throw new ReconfigurationError(
      `${change.replica} is not a member of the group.`,
      'See "forkstage status".',
    )
  const without = (members: Member[]) => members.filter((member) => member.replica !== change.replica)
  if (without(voters).length === 0)
    throw new ReconfigurationError('The last voter cannot be removed.', 'Add another voter first.')
  return { voters: without(voters), learners: without(learners) }
}

function addLearner(state: RaftState, member: Member): GroupConfig {
  const { voters, learners } = state.log.config
  if (findMember(state, member.replica) !== undefined) {
    throw new ReconfigurationError(
      `${member.replica} is already a member of the group.`,
      'See "forkstage status".',
    )
  }
  return { voters, learners: [...learners, member] }
}

function promote(state: RaftState, replica: ReplicaId): GroupConfig {
  const { voters, learners } = state.log.config
  const learner = learners.find((member) => member.replica === replica)
  if (learner === undefined)
    throw new ReconfigurationError(`${replica} is not a learner.`, 'Add it as a learner first.')
  const lagEntries = state.log.lastIndex - progressOf(state, learner).match
  if (lagEntries > MAX_LEARNER_LAG_ENTRIES) {
    throw new ReconfigurationError(
      `${replica} is ${lagEntries} entries behind.`,
      'Wait until it has caught up.',
    )
  }
  return { voters: [...voters, learner], learners: learners.filter((member) => member !== learner) }
}

/**
 * Transfers leadership to another voter as soon as one has the whole log; used by a planned stop. Proposals are refused
 * meanwhile: under a steady load, no voter would ever have the whole log.
 */
export function transferLeadership(state: RaftState, now: Millis): void {
  const hasOthers = state.log.config.voters.some((voter) => voter.replica !== state.replica)
  if (state.role !== 'leader' || state.transferTo !== null || !hasOthers) return
  state.isTransferPending = true
  state.transferDeadline = now + state.options.electionTimeout
  continueTransfer(state)
}

/** Tells a voter that has the whole log to take over, if a transfer waits for one. */
export function continueTransfer(state: RaftState): void {
  if (!state.isTransferPending) return
  const successor = state.log.config.voters.find(
    (voter) => voter.replica !== state.replica && progressOf(state, voter).match === state.log.lastIndex,
  )
  if (successor === undefined) return
  state.isTransferPending = false
  state.transferTo = successor.replica
  send(state, successor, { type: 'timeoutNow', term: state.term }, false)
}

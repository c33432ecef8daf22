import type { Random } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { RaftLog } from './raftLog'
import type {
  Effect,
  HardState,
  LogEntry,
  Member,
  Message,
  Progress,
  RaftOptions,
  ReplicaId,
  Role,
  Snapshot,
} from './types'

/** The protocol state of a replica. Only the functions of this package change it. */
export interface RaftState {
  readonly replica: ReplicaId
  readonly options: RaftOptions
  readonly random: Random
  term: number
  votedFor: ReplicaId | null
  log: RaftLog
  /** The newest snapshot with its data, sent to replicas that lag too far behind. */
  snapshot: Snapshot
  commitIndex: number
  appliedIndex: number
  /** The last index synced to this replica's own disk. */
  persistedIndex: number
  role: Role
  leader: ReplicaId | null
  electionDeadline: Millis
  /** When a leader last made contact. No vote is granted within an election timeout of it, except for a transfer. */
  leaderContactAt: Millis
  heartbeatDue: Millis
  leaderSince: Millis
  votes: Map<ReplicaId, boolean>
  progress: Map<ReplicaId, Progress>
  /** The voter that leadership is being transferred to. Meanwhile there are no proposals and no lease. */
  transferTo: ReplicaId | null
  /** Whether a transfer waits for a voter that has the whole log. Meanwhile there are no proposals. */
  isTransferPending: boolean
  /** When a transfer is given up. */
  transferDeadline: Millis
  /** Effects collected during the current step. */
  effects: Effect[]
}

/** Options of {@link createRaft}. */
export interface CreateRaftOptions extends RaftOptions {
  replica: ReplicaId
  random: Random
  hardState: HardState
  snapshot: Snapshot
  entries: LogEntry[]
  now: Millis
}

/** Creates a replica's state from the contents of its disk. */
export function createRaft(options: CreateRaftOptions): RaftState {
  const { replica, random, hardState, snapshot, entries, now, ...raftOptions } = options
  const log = new RaftLog(snapshot.meta, entries)
  return {
    replica,
    options: raftOptions,
    random,
    term: hardState.term,
    votedFor: hardState.votedFor,
    log,
    snapshot,
    commitIndex: snapshot.meta.index,
    appliedIndex: snapshot.meta.index,
    persistedIndex: log.lastIndex,
    role: 'follower',
    leader: null,
    electionDeadline: now + raftOptions.electionTimeout * (1 + random()),
    // Before a restart the replica may have confirmed a leader's lease, so it grants no vote for one election timeout.
    leaderContactAt: now,
    heartbeatDue: now,
    leaderSince: 0,
    votes: new Map(),
    progress: new Map(),
    transferTo: null,
    isTransferPending: false,
    transferDeadline: 0,
    effects: [],
  }
}

/** Returns the effects of the current step and clears them. */
export function drainEffects(state: RaftState): Effect[] {
  const effects = state.effects
  state.effects = []
  return effects
}

/** All voters and learners except this replica. */
export function otherMembers(state: RaftState): Member[] {
  const { voters, learners } = state.log.config
  return [...voters, ...learners].filter((member) => member.replica !== state.replica)
}

export function isVoter(state: RaftState, replica: ReplicaId): boolean {
  return state.log.config.voters.some((member) => member.replica === replica)
}

/** The number of voters that form a majority. */
export function majority(state: RaftState): number {
  return Math.floor(state.log.config.voters.length / 2) + 1
}

export function findMember(state: RaftState, replica: ReplicaId): Member | undefined {
  const { voters, learners } = state.log.config
  return [...voters, ...learners].find((member) => member.replica === replica)
}

export function send(state: RaftState, to: Member, message: Message, afterPersist: boolean): void {
  state.effects.push({ type: 'send', to, message, afterPersist })
}

export function persistHardState(state: RaftState): void {
  const hardState = { term: state.term, votedFor: state.votedFor }
  state.effects.push({ type: 'persist', hardState, entries: [] })
}

export function resetElectionDeadline(state: RaftState, now: Millis): void {
  const { electionTimeout } = state.options
  state.electionDeadline = now + electionTimeout * (1 + state.random())
}

/** Gives up a transfer of leadership, if there is one. */
export function cancelTransfer(state: RaftState): void {
  state.transferTo = null
  state.isTransferPending = false
}

/** Makes the replica a follower in the given term, which must not be lower than the current one. */
export function becomeFollower(state: RaftState, term: number, leader: ReplicaId | null, now: Millis): void {
  const changed = state.role !== 'follower'
  if (term > state.term) {
    state.term = term
    state.votedFor = null
    persistHardState(state)
  }
  state.role = 'follower'
  state.leader = leader
  cancelTransfer(state)
  state.progress.clear()
  if (changed) resetElectionDeadline(state, now)
  if (changed) state.effects.push({ type: 'role', role: 'follower', term: state.term })
}

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

/** Everything a replica knows. Changed only by the functions of this package. */
export interface RaftState {
  readonly replica: ReplicaId
  readonly options: RaftOptions
  readonly random: Random
  term: number
  votedFor: ReplicaId | null
  log: RaftLog
  /** The newest snapshot with its bytes, for replicas that have fallen behind. */
  snapshot: Snapshot
  commitIndex: number
  appliedIndex: number
  /** The last index synced on this replica's own disk. */
  persistedIndex: number
  role: Role
  leader: ReplicaId | null
  electionDeadline: Millis
  /** When a leader was last heard; within an election timeout of it no vote is given. */
  leaderContactAt: Millis
  heartbeatDue: Millis
  leaderSince: Millis
  votes: Map<ReplicaId, boolean>
  progress: Map<ReplicaId, Progress>
  /** Set while leadership is being handed over; no proposals and no lease then. */
  transferTo: ReplicaId | null
  transferDeadline: Millis
  /** Effects gathered during the current step. */
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

/** Builds a replica's state from what its disk holds. */
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
    // A restarted replica may have promised a leader its silence: it keeps quiet for one election timeout.
    leaderContactAt: now,
    heartbeatDue: now,
    leaderSince: 0,
    votes: new Map(),
    progress: new Map(),
    transferTo: null,
    transferDeadline: 0,
    effects: [],
  }
}

/** Takes the effects of the step that has just ended. */
export function drainEffects(state: RaftState): Effect[] {
  const effects = state.effects
  state.effects = []
  return effects
}

/** Every member but this replica. */
export function otherMembers(state: RaftState): Member[] {
  const { voters, learners } = state.log.config
  return [...voters, ...learners].filter((member) => member.replica !== state.replica)
}

export function isVoter(state: RaftState, replica: ReplicaId): boolean {
  return state.log.config.voters.some((member) => member.replica === replica)
}

/** How many of the voters make a majority. */
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

/** Goes back to following, in the given term, which is never lower than the current one. */
export function becomeFollower(state: RaftState, term: number, leader: ReplicaId | null, now: Millis): void {
  const changed = state.role !== 'follower'
  if (term > state.term) {
    state.term = term
    state.votedFor = null
    persistHardState(state)
  }
  state.role = 'follower'
  state.leader = leader
  state.transferTo = null
  state.progress.clear()
  if (changed) resetElectionDeadline(state, now)
  if (changed) state.effects.push({ type: 'role', role: 'follower', term: state.term })
}

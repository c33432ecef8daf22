import type { Address, BoxId, FailureDomain, Millis } from '@forkstage/types'

/** The identity of a replica: random, written on its disk, never used again once the disk is lost. */
export type ReplicaId = string

/** A replica and where to reach it. */
export interface Member {
  replica: ReplicaId
  box: BoxId
  address: Address
  /** What is lost together with it; absent where that is not known, as in logs that were written without it. */
  domain?: FailureDomain
}

/** Who belongs to a group. Only voters count; learners receive the log. */
export interface GroupConfig {
  voters: Member[]
  learners: Member[]
}

/** One entry of the log. `data` is a command, a {@link GroupConfig}, or nothing. */
export interface LogEntry {
  index: number
  term: number
  kind: 'command' | 'config' | 'noop'
  data: unknown
}

/** What a snapshot stands for: all entries up to `index`. */
export interface SnapshotMeta {
  index: number
  term: number
  config: GroupConfig
  configIndex: number
}

/** A snapshot with the state machine's own bytes. */
export interface Snapshot {
  meta: SnapshotMeta
  data: Uint8Array
}

/** The part of the state that must be on disk before a vote or a reply leaves. */
export interface HardState {
  term: number
  votedFor: ReplicaId | null
}

export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader'

/** Asks for a vote; a pre-vote asks whether one would be granted, changing nothing. */
export interface VoteRequest {
  type: 'vote' | 'preVote'
  term: number
  lastIndex: number
  lastTerm: number
  /** Set when the leader itself asked for the election, so that its lease does not stand in the way. */
  transfer: boolean
}

export interface VoteReply {
  type: 'voteReply' | 'preVoteReply'
  term: number
  granted: boolean
}

/** Replicates entries; without entries it is the heartbeat. */
export interface AppendRequest {
  type: 'append'
  term: number
  prevIndex: number
  prevTerm: number
  entries: LogEntry[]
  commit: number
  /** The leader's clock when it sent this; echoed, so that the lease counts from the sending. */
  sentAt: Millis
}

export interface AppendReply {
  type: 'appendReply'
  term: number
  success: boolean
  /** On success the last index known to match and to be synced; otherwise where to try next. */
  matchIndex: number
  /** The last index of the replica's log. */
  lastIndex: number
  sentAt: Millis
}

export interface InstallSnapshot {
  type: 'snapshot'
  term: number
  snapshot: Snapshot
  sentAt: Millis
}

/** Tells a replica to campaign at once, for a planned change of leader. */
export interface TimeoutNow {
  type: 'timeoutNow'
  term: number
}

/** Tells a replica that its disk has lost entries that it had acknowledged. */
export interface StaleDisk {
  type: 'staleDisk'
  term: number
}

export type Message =
  VoteRequest | VoteReply | AppendRequest | AppendReply | InstallSnapshot | TimeoutNow | StaleDisk

/** What the shell must do after a step, in this order. */
export type Effect =
  | { type: 'persist'; hardState?: HardState; truncateFrom?: number; entries: LogEntry[] }
  | { type: 'saveSnapshot'; snapshot: Snapshot }
  /** `afterPersist`: leave only once every earlier `persist` and `saveSnapshot` is synced. */
  | { type: 'send'; to: Member; message: Message; afterPersist: boolean }
  | { type: 'apply'; entries: LogEntry[] }
  | { type: 'restore'; snapshot: Snapshot }
  | { type: 'role'; role: Role; term: number }
  /** The replica's own disk is older than what it acknowledged; it must not go on under its identity. */
  | { type: 'staleDisk'; leader: ReplicaId }
  /** A voter was found to have lost acknowledged entries; it is not counted any more. */
  | { type: 'memberLostData'; replica: ReplicaId }

/** What the leader knows about another replica. */
export interface Progress {
  match: number
  /** When the leader learned of `match`; answers to later messages cannot fall below it. */
  matchKnownAt: Millis
  next: number
  /** Sending time of the newest message this replica has answered. */
  ackedSentAt: Millis
  /** Append messages sent and not answered. */
  inFlight: number
  /** Whether the log position is still being looked for. */
  probing: boolean
  /** When a snapshot was sent that has not been answered. */
  snapshotSentAt?: Millis
  /** Whether the replica was found to have lost acknowledged entries. */
  lostData: boolean
}

/** Times of the protocol, in milliseconds, and sizes. */
export interface RaftOptions {
  electionTimeout: Millis
  heartbeat: Millis
  /** Entries a message at most. */
  maxEntriesPerMessage: number
  /** Messages in flight a replica at most. */
  maxInFlight: number
}

import type { Address, BoxId, FailureDomain, Millis } from '@forkstage/types'

/** The identity of a replica: random, stored on its disk, and never reused once the disk is lost. */
export type ReplicaId = string

/** A replica and its address. */
export interface Member {
  replica: ReplicaId
  box: BoxId
  address: Address
  /** The replica's failure domain; absent if unknown, as in logs written without this field. */
  domain?: FailureDomain
}

/** The members of a group. Only voters count towards a majority; learners only receive the log. */
export interface GroupConfig {
  voters: Member[]
  learners: Member[]
}

/** One entry of the log. Depending on `kind`, `data` is a command, a {@link GroupConfig} or null. */
export interface LogEntry {
  index: number
  term: number
  kind: 'command' | 'config' | 'noop'
  data: unknown
}

/** The part of the log that a snapshot replaces: all entries up to `index`. */
export interface SnapshotMeta {
  index: number
  term: number
  config: GroupConfig
  configIndex: number
}

/** A snapshot with the serialized state of the state machine. */
export interface Snapshot {
  meta: SnapshotMeta
  data: Uint8Array
}

/** The part of the state that must be on disk before a vote or a reply is sent. */
export interface HardState {
  term: number
  votedFor: ReplicaId | null
}

export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader'

/** Requests a vote. A pre-vote asks whether the vote would be granted, and changes no state. */
export interface VoteRequest {
  type: 'vote' | 'preVote'
  term: number
  lastIndex: number
  lastTerm: number
  /** Whether the leader itself requested the election; voters then disregard its lease. */
  transfer: boolean
}

export interface VoteReply {
  type: 'voteReply' | 'preVoteReply'
  term: number
  granted: boolean
}

/** Replicates entries; a request without entries is a heartbeat. */
export interface AppendRequest {
  type: 'append'
  term: number
  prevIndex: number
  prevTerm: number
  entries: LogEntry[]
  commit: number
  /** Sending time by the leader's clock. The reply repeats it, so that the lease counts from the sending. */
  sentAt: Millis
}

export interface AppendReply {
  type: 'appendReply'
  term: number
  success: boolean
  /** On success the last index that matches the leader's log and is synced; otherwise the index to try next. */
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

/** Tells a replica to start an election at once, for a leadership transfer. */
export interface TimeoutNow {
  type: 'timeoutNow'
  term: number
}

/** Tells a replica that its disk has lost entries that the replica had acknowledged. */
export interface StaleDisk {
  type: 'staleDisk'
  term: number
}

export type Message =
  VoteRequest | VoteReply | AppendRequest | AppendReply | InstallSnapshot | TimeoutNow | StaleDisk

/** What the caller must do after a step, in the order of the effects. */
export type Effect =
  | { type: 'persist'; hardState?: HardState; truncateFrom?: number; entries: LogEntry[] }
  | { type: 'saveSnapshot'; snapshot: Snapshot }
  /** `afterPersist`: to be sent only once every earlier `persist` and `saveSnapshot` is synced. */
  | { type: 'send'; to: Member; message: Message; afterPersist: boolean }
  | { type: 'apply'; entries: LogEntry[] }
  | { type: 'restore'; snapshot: Snapshot }
  | { type: 'role'; role: Role; term: number }
  /** This replica's disk has lost acknowledged entries, so it must not continue under its identity. */
  | { type: 'staleDisk'; leader: ReplicaId }
  /** A member has lost acknowledged entries and no longer counts towards a majority. */
  | { type: 'memberLostData'; replica: ReplicaId }

/** The replication progress of another replica, as known to the leader. */
export interface Progress {
  match: number
  /** When the leader learned of `match`. Replies to messages sent later cannot report a log that ends before it. */
  matchKnownAt: Millis
  next: number
  /** Sending time of the newest message that this replica has replied to. */
  ackedSentAt: Millis
  /** Number of append messages without a reply yet. */
  inFlight: number
  /** Whether the leader is still searching for the last matching index. */
  probing: boolean
  /** When a snapshot was sent that has no reply yet. */
  snapshotSentAt?: Millis
  /** Whether the replica was found to have lost acknowledged entries. */
  lostData: boolean
}

/** Timeouts of the protocol, in milliseconds, and size limits. */
export interface RaftOptions {
  electionTimeout: Millis
  heartbeat: Millis
  /** Maximum number of entries per message. */
  maxEntriesPerMessage: number
  /** Maximum number of append messages in flight per replica. */
  maxInFlight: number
}

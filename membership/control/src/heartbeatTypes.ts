import type { GroupConfig, ReplicaId } from '@forkstage/raft'
import type { Address, BoxId, FailureDomain, Millis } from '@forkstage/types'
import type { TableUpdate } from './controlCommands'

/** A box as it presents itself with every question. */
export interface BoxInfo {
  box: BoxId
  /** A new one for every start of the process. */
  incarnation: string
  /** The listener for other boxes. */
  address: Address
  domain: FailureDomain
  state: 'serving' | 'leaving'
}

/** The live boxes and what the platform says is leaving. */
export interface Members {
  /** Rises with every change: the term of the control leader and a count. */
  version: [term: number, count: number]
  boxes: BoxInfo[]
  /** Boxes and endpoints that the platform lists as leaving. */
  leaving: string[]
}

/** What every box asks every control replica, again and again. It is also the box's heartbeat. */
export interface HeartbeatRequest {
  box: BoxInfo
  /** The version of the table that is in force on the box. */
  version: number
  /** The newest configuration of the control group that the box knows. */
  configIndex: number
  membersVersion: [number, number]
  /** Until when the box's lease runs, counted from now, in milliseconds; 0 without one. */
  leaseLeft: Millis
  /** Asks for the table also from a replica that does not lead. */
  wantUpdate: boolean
}

/** A control replica's answer. */
export interface HeartbeatAnswer {
  replica: ReplicaId
  /** Whether the replica leads and no other can have become leader. */
  holdsLease: boolean
  /** The newest table in its log, committed or not. */
  newestVersion: number
  /** The newest table that it knows to be accepted. */
  acceptedVersion: number
  newestConfigIndex: number
  /** The newest configuration, where the box has an older one. */
  config?: GroupConfig
  update?: TableUpdate
  members?: Members
}

/** What the control leader knows of one box, for `status` and for waiting until a table is in force. */
export interface BoxStatus extends BoxInfo {
  version: number
  /** Since when this version is in force there, in milliseconds before now. */
  versionForMs: Millis
  /** When the box was last heard, in milliseconds before now. */
  heardAgoMs: Millis
  /** How long the box may still act on its version, in milliseconds. */
  leaseLeftMs: Millis
}

/** The control leader's view of all boxes. */
export interface ControlStatus {
  version: number
  digest: string
  boxes: BoxStatus[]
  /** False while a new leader may not have heard from every box yet. */
  settled: boolean
}

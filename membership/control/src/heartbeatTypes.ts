import type { GroupConfig, ReplicaId } from '@forkstage/raft'
import type { Address, BoxId, FailureDomain, Millis } from '@forkstage/types'
import type { TableUpdate } from './controlCommands'

/** A box as it describes itself in every heartbeat. */
export interface BoxInfo {
  box: BoxId
  /** Identifies one start of the process. */
  incarnation: string
  /** Where other boxes reach this box. */
  address: Address
  domain: FailureDomain
  state: 'serving' | 'leaving'
}

/** The live boxes, and what the platform lists as leaving. */
export interface Members {
  /** Rises with every change. Compared by the control leader's term first, then by its count of changes. */
  version: [term: number, count: number]
  boxes: BoxInfo[]
  /** Boxes and endpoints that the platform lists as leaving. */
  leaving: string[]
}

/** A box's heartbeat, sent periodically to every control replica. It also requests newer state. */
export interface HeartbeatRequest {
  box: BoxInfo
  /** The version of the table that the box uses. */
  version: number
  /** Log index of the newest control group configuration that the box knows; -1 without one. */
  configIndex: number
  membersVersion: [number, number]
  /** Remaining time of the box's lease in milliseconds; 0 without a lease. */
  leaseLeft: Millis
  /** Requests the table even if the replica does not lead. */
  wantUpdate: boolean
}

/** A control replica's answer to a {@link HeartbeatRequest}. */
export interface HeartbeatAnswer {
  replica: ReplicaId
  /** Whether the replica leads and no other replica can have become leader. */
  holdsLease: boolean
  /** Version of the newest table in the replica's log, committed or not. */
  newestVersion: number
  /** Version of the newest table that the replica knows to be accepted. */
  acceptedVersion: number
  newestConfigIndex: number
  /** The newest configuration of the control group; absent if the box has it already. */
  config?: GroupConfig
  update?: TableUpdate
  members?: Members
}

/**
 * What the control leader knows of one box. Shown by `status`, and polled to wait until every box uses a
 * table.
 */
export interface BoxStatus extends BoxInfo {
  version: number
  /** How long the box has used this version, in milliseconds. */
  versionForMs: Millis
  /** Time since the box's last heartbeat, in milliseconds. */
  heardAgoMs: Millis
  /** How much longer the box may act on its version, in milliseconds. */
  leaseLeftMs: Millis
}

/** The control leader's view of all boxes. */
export interface ControlStatus {
  version: number
  digest: string
  boxes: BoxStatus[]
  /** False while a new leader may still lack a heartbeat of some box. */
  settled: boolean
}

import type { CrashRecord } from '@forkstage/crashes'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EvacuationSet } from '@forkstage/evacuation'
import type { Address, FailureDomain, Millis } from '@forkstage/types'

/** The control machines' long-poll method, which holds a call until something changes. */
export const WATCH_METHOD = 'control.watch'

/** The control machines' method that returns the newest sheet they know. */
export const SHEET_METHOD = 'control.sheet'

/** A route sheet as submitted. */
export interface WatchedSheet {
  version: number
  text: string
}

/** What the sender already knows, so that the answer contains only changes. */
export interface WatchRequest {
  /** The sender's address for other machines if it is an entry. Control machines count the entries. */
  entry?: Address
  /** The incarnation of the control process that `position` came from; empty at first. */
  epoch: string
  /** The position in that incarnation's directory up to which the sender knows all changes. */
  position: number
  /** The same position in that incarnation's crash tracker; absent if the sender wants no crash records. */
  crashPosition?: number
  /** The reserved endpoints of the receiver's last answer; absent if the sender relays no requests. */
  keptFree?: InstanceId[]
  /** The number of neighbours in the receiver's last answer; absent if the sender is no entry. */
  neighbourCount?: number
  /** The `ringVersion` of the receiver's last answer; absent before one. */
  ringVersion?: number
  /** The newest sheet version that the sender knows of; -1 without one. */
  sheetVersion: number
  /** The index of the sender's set of evacuated domains; absent if the sender wants none. */
  evacuationIndex?: number
  /** The domains that the sender counts as evacuated before it has received a set. */
  supposedEvacuations?: FailureDomain[]
  /** The leader in the receiver's last answer; absent without one. */
  leader?: Address
  /** The control machines in the receiver's last answer. */
  members: Address[]
  /** How long the answer may be held while nothing changes. */
  holdMs: Millis
}

/** What changed since the state that a {@link WatchRequest} describes. */
export interface WatchAnswer {
  epoch: string
  position: number
  /**
   * Version of the newest sheet that this machine knows; -1 without one. The text is fetched from one machine
   * only.
   */
  sheetVersion: number
  endpoints: RegisteredEndpoint[]
  /** Changed records of contents that crash their endpoints; absent if not requested. */
  crashes?: CrashRecord[]
  crashPosition?: number
  /**
   * Endpoints that this machine reserves and that accept only what it allows, in a fixed order; absent if not
   * requested.
   */
  keptFree?: InstanceId[]
  /** The set of evacuated domains; absent unless newer than the sender's. */
  evacuations?: EvacuationSet
  /**
   * Domains that may be evacuated and that the sender does not list; absent once either machine has a set.
   */
  supposedEvacuations?: FailureDomain[]
  /** The control machines' addresses for other machines. */
  members: Address[]
  /** The leader's address; absent while the control machine knows of none. */
  leader?: Address
  /** The number of entries with a recent request. */
  entries: number
  /** Some other entries, for an entry that loses its connection to the control machines or to endpoints. */
  neighbours?: Address[]
  /** Changes whenever entries were added or removed; the neighbours are omitted if the sender has those of this version. */
  ringVersion?: number
}

/**
 * A sheet as sent between machines. The text is compressed (gzip, base64), since a thousand routes are long
 * and repetitive.
 */
export interface PackedSheet {
  version: number
  packed: string
}

import type { CrashRecord } from '@forkstage/crashes'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EvacuationSet } from '@forkstage/evacuation'
import type { Address, FailureDomain, Millis } from '@forkstage/types'

/** The method of control machines that holds a call until something changes. */
export const WATCH_METHOD = 'control.watch'

/** The method that gives the newest sheet a control machine knows. */
export const SHEET_METHOD = 'control.sheet'

/** A route sheet as it was handed in. */
export interface WatchedSheet {
  version: number
  text: string
}

/** What the asker has, so that only news travels. */
export interface WatchRequest {
  /** The asker's address for other machines, where it is an entry; entries are counted. */
  entry?: Address
  /** The life of the control process that gave `position`; empty at first. */
  epoch: string
  /** The place in that life's directory up to which the asker knows all. */
  position: number
  /** The same in that life's book of contents that end their endpoints; absent where the asker wants none. */
  crashPosition?: number
  /** The endpoints that this machine kept free when it last answered; absent where the asker sends to none. */
  keptFree?: InstanceId[]
  /** The newest version of the sheet that the asker has heard of; -1 without one. */
  sheetVersion: number
  /** The index of the newest set of evacuated domains that the asker has heard; absent where it asks for none. */
  evacuationIndex?: number
  /** The domains that it takes for evacuated while it has heard no set. */
  supposedEvacuations?: FailureDomain[]
  /** The leader the asker believes in. */
  leader?: Address
  /** The control machines that the asker knows from this one. */
  members: Address[]
  /** How long the answer may be held while there is no news. */
  holdMs: Millis
}

/** What changed. */
export interface WatchAnswer {
  epoch: string
  position: number
  /** The version of the newest sheet known here; -1 without one. Its text is asked for at one machine only. */
  sheetVersion: number
  endpoints: RegisteredEndpoint[]
  /** Contents that end their endpoints, where there is news of them. */
  crashes?: CrashRecord[]
  crashPosition?: number
  /** Endpoints that must get nothing but what the machine that keeps them free allows, in order; where they are asked for. */
  keptFree?: InstanceId[]
  /** The evacuated domains, where they are newer than those that the asker knows. */
  evacuations?: EvacuationSet
  /** Domains that may be evacuated, other than the asker's; from a machine that knows no set to one that has heard none. */
  supposedEvacuations?: FailureDomain[]
  /** The control machines by the addresses that other machines reach them at. */
  members: Address[]
  /** Present while the control machine hears a leader. */
  leader?: Address
  /** How many entries have asked lately. */
  entries: number
  /** A few other entries, for an entry that loses its way to the control machines. */
  neighbours: Address[]
}

/** A sheet on its way: its text is packed (gzip, base64), since a thousand routes are long and alike. */
export interface PackedSheet {
  version: number
  packed: string
}

import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Address, Millis } from '@forkstage/types'

/** The method of control machines that holds a call until something changes. */
export const WATCH = 'control.watch'

/** A route sheet as it was handed in. */
export interface WatchedSheet {
  version: number
  text: string
}

/** What the asker has, so that only news travels. */
export interface WatchQuestion {
  /** The asker's address for other machines, where it is an entry; entries are counted. */
  entry?: Address
  /** The life of the control process that gave `position`; empty at first. */
  epoch: string
  /** The place in that life's directory up to which the asker knows all. */
  position: number
  /** The version of the sheet the asker holds; -1 without one. */
  sheetVersion: number
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
  /** Present where it is newer than the asker's. */
  sheet?: WatchedSheet
  endpoints: RegisteredEndpoint[]
  /** The control machines by the addresses that other machines reach them at. */
  members: Address[]
  /** Present while the control machine hears a leader. */
  leader?: Address
  /** How many entries have asked lately. */
  entries: number
  /** A few other entries, for an entry that loses its way to the control machines. */
  neighbours: Address[]
}

import type { Table, TableDelta } from '@forkstage/types'

/** Confirms a table: compare-and-set on base version and digest, under an id of the operator's own. */
export interface ConfirmCommand {
  type: 'confirm'
  base: number
  /** Digest of the whole table that the delta leads to. */
  digest: string
  confirmId: string
  delta: TableDelta
  who: string
  /** Wall-clock milliseconds, for display. */
  at: number
}

/** Takes the next order fence. The nonce makes a resend safe. */
export interface FenceCommand {
  type: 'fence'
  nonce: string
}

export type ControlCommand = ConfirmCommand | FenceCommand

/** What became of a confirm. */
export type ConfirmResult =
  | { outcome: 'accepted'; version: number; digest: string }
  /** Another table holds this version number; `version` and `digest` are the newest ones. */
  | { outcome: 'conflict'; version: number; digest: string; reason: string }

export interface FenceResult {
  outcome: 'fence'
  fence: number
}

export type ControlResult = ConfirmResult | FenceResult

/** One accepted version with who made it, for the history. */
export interface HistoryEntry {
  version: number
  digest: string
  confirmId: string
  who: string
  at: number
  delta: TableDelta
}

/** How a box gets from its version to the newest one. */
export type TableUpdate =
  | { type: 'steps'; steps: Pick<HistoryEntry, 'version' | 'digest' | 'delta'>[] }
  | { type: 'full'; version: number; digest: string; table: Table }

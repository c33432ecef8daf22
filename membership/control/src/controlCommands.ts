import type { Table, TableDelta } from '@forkstage/types'

/**
 * Replaces the table by compare-and-set on its base version and the digest of the result. `confirmId`, chosen
 * by the operator, makes a resend idempotent.
 */
export interface ConfirmCommand {
  type: 'confirm'
  base: number
  /** Digest of the table that results from applying `delta` to the base version. */
  digest: string
  confirmId: string
  delta: TableDelta
  who: string
  /** Unix time in milliseconds, for display only. */
  at: number
}

/** Issues the next fence, the fencing token of an order to an engine. `nonce` makes a resend idempotent. */
export interface FenceCommand {
  type: 'fence'
  nonce: string
}

export type ControlCommand = ConfirmCommand | FenceCommand

/** The result of a {@link ConfirmCommand}. */
export type ConfirmResult =
  | { outcome: 'accepted'; version: number; digest: string }
  /** The command was rejected for `reason`; `version` and `digest` are those of the newest table. */
  | { outcome: 'conflict'; version: number; digest: string; reason: string }

export interface FenceResult {
  outcome: 'fence'
  fence: number
}

export type ControlResult = ConfirmResult | FenceResult

/** An accepted version of the table, with who confirmed it, as kept in the history. */
export interface HistoryEntry {
  version: number
  digest: string
  confirmId: string
  who: string
  at: number
  delta: TableDelta
}

/** What brings a box to the newest version: the changes since its own version, or the whole table. */
export type TableUpdate =
  | { type: 'steps'; steps: Pick<HistoryEntry, 'version' | 'digest' | 'delta'>[] }
  | { type: 'full'; version: number; digest: string; table: Table }

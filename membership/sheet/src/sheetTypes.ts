import type { EvacuationResult, EvacuationSet, SetEvacuation } from '@forkstage/evacuation'

/** A route sheet as it was handed in, under its version. */
export interface SheetDocument {
  version: number
  /** The document as the operator sent it; read with the deployment's own reader. */
  text: string
}

/** Puts a sheet in force unless a newer one is. */
export interface PutSheet {
  type: 'putSheet'
  document: SheetDocument
}

/** What became of a {@link PutSheet}. */
export interface PutResult {
  /** The version in force afterwards. */
  held: number
  /** Whether the command's own document is the one in force. */
  taken: boolean
}

/** The commands of the group. */
export type SheetCommand = PutSheet | SetEvacuation

/** What became of a command. */
export type SheetResult = PutResult | EvacuationResult

/** The whole replicated state, as a snapshot holds it. */
export interface SheetState {
  sheet: SheetDocument | null
  evacuations: EvacuationSet
}

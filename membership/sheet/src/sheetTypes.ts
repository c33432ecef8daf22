import type { EvacuationResult, EvacuationSet, SetEvacuation } from '@forkstage/evacuation'

/** A route sheet as submitted, with its version. */
export interface SheetDocument {
  version: number
  /** The document as the operator sent it; parsed by the deployment's own reader. */
  text: string
}

/** Replicated command: stores a sheet if its version is higher than that of the stored one. */
export interface PutSheet {
  type: 'putSheet'
  document: SheetDocument
}

/** The result of a {@link PutSheet}. */
export interface PutResult {
  /** The stored version after the command. */
  held: number
  /** Whether the command's document was stored. */
  taken: boolean
}

/** The commands of the group. */
export type SheetCommand = PutSheet | SetEvacuation

/** The result of a command. */
export type SheetResult = PutResult | EvacuationResult

/** The whole replicated state, as stored in a snapshot. */
export interface SheetState {
  sheet: SheetDocument | null
  evacuations: EvacuationSet
  /** Log index of the last evacuation order; absent in snapshots of earlier versions. */
  lastEvacuationOrderIndex?: number
}

import {
  EvacuationState,
  NO_EVACUATIONS,
  type EvacuationResult,
  type EvacuationSet,
  type SetEvacuation,
} from '@forkstage/evacuation'
import type { StateMachine } from '@forkstage/group'
import type { PutResult, PutSheet, SheetCommand, SheetDocument, SheetResult, SheetState } from './sheetTypes'

/**
 * The replicated state: the sheet with the highest version, and the evacuated failure domains. The first
 * content stored under a version is kept.
 */
export class SheetStateMachine implements StateMachine<SheetCommand, SheetResult> {
  private document: SheetDocument | undefined
  private readonly evacuation = new EvacuationState()
  /** Called with each newer sheet once it is committed. */
  onNewerSheet: (document: SheetDocument) => void = () => undefined
  /** Called with each changed set of evacuated domains once it is committed. */
  onEvacuations: (set: EvacuationSet) => void = () => undefined
  /** Called with each committed order and its log index, also if it changes nothing. */
  onEvacuationOrder: (order: SetEvacuation, index: number, result: EvacuationResult) => void = () => undefined

  /** The newest committed sheet that this replica knows; undefined without one. */
  get newest(): SheetDocument | undefined {
    return this.document
  }

  /** The evacuated domains after the commands that this replica has applied. */
  get evacuations(): EvacuationState {
    return this.evacuation
  }

  apply(command: PutSheet, index: number): PutResult
  apply(command: SheetCommand, index: number): SheetResult
  apply(command: SheetCommand, index: number): SheetResult {
    if (command.type === 'putSheet') return this.put(command.document)
    const result: EvacuationResult = this.evacuation.apply(command, index)
    this.onEvacuationOrder(command, index, result)
    if (result.outcome === 'changed') this.onEvacuations(this.evacuation.current)
    return result
  }

  snapshot(): Uint8Array {
    const state: SheetState = {
      sheet: this.document ?? null,
      evacuations: this.evacuation.current,
      lastEvacuationOrderIndex: this.evacuation.lastOrderIndex,
    }
    return Buffer.from(JSON.stringify(state))
  }

  restore(data: Uint8Array): void {
    const { sheet, evacuations, lastEvacuationOrderIndex } = readState(data)
    this.document = sheet ?? undefined
    this.evacuation.restore(evacuations, lastEvacuationOrderIndex ?? evacuations.index)
    this.onEvacuations(evacuations)
    if (sheet !== null) this.onNewerSheet(sheet)
  }

  private put(document: SheetDocument): PutResult {
    const taken = document.version > (this.document?.version ?? -1)
    if (taken) this.install(document)
    return { held: this.document!.version, taken }
  }

  private install(document: SheetDocument): void {
    this.document = document
    this.onNewerSheet(document)
  }
}

/** Parses a snapshot. Snapshots of versions without evacuations contain only a document or null. */
function readState(data: Uint8Array): SheetState {
  const read = JSON.parse(Buffer.from(data).toString()) as SheetState | SheetDocument | null
  if (read !== null && 'evacuations' in read) return read
  return { sheet: read, evacuations: NO_EVACUATIONS }
}

import type { StateMachine } from '@forkstage/group'
import type { PutResult, PutSheet, SheetDocument } from './sheetTypes'

/** The replicated state: the sheet with the highest version. The first content under a version stays. */
export class SheetMachine implements StateMachine<PutSheet, PutResult> {
  private document: SheetDocument | undefined
  /** Called with each newer sheet once it is committed. */
  onNewer: (document: SheetDocument) => void = () => undefined

  /** The newest committed sheet this replica knows. */
  get newest(): SheetDocument | undefined {
    return this.document
  }

  apply(command: PutSheet): PutResult {
    const taken = command.document.version > (this.document?.version ?? -1)
    if (taken) this.take(command.document)
    return { held: this.document!.version, taken }
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.document ?? null))
  }

  restore(data: Uint8Array): void {
    const document = JSON.parse(Buffer.from(data).toString()) as SheetDocument | null
    this.document = document ?? undefined
    if (document !== null) this.onNewer(document)
  }

  private take(document: SheetDocument): void {
    this.document = document
    this.onNewer(document)
  }
}

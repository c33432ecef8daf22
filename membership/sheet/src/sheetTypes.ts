/** A route sheet as it was handed in, under its version. */
export interface SheetDocument {
  version: number
  /** The document as the operator sent it; read with the deployment's own reader. */
  text: string
}

/** The only command of the group: put a sheet in force unless a newer one is. */
export interface PutSheet {
  type: 'putSheet'
  document: SheetDocument
}

/** What became of a command. */
export interface PutResult {
  /** The version in force afterwards. */
  held: number
  /** Whether the command's own document is the one in force. */
  taken: boolean
}

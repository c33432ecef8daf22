/** The replicated state of the control machines: the route sheet and the evacuated failure domains. */
export { SheetMachine } from './sheetMachine'
export type { PutResult, PutSheet, SheetCommand, SheetDocument, SheetResult } from './sheetTypes'

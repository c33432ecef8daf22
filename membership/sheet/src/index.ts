/** The replicated route sheet. */
export { SheetMachine } from './sheetMachine'
export type { PutResult, PutSheet, SheetDocument } from './sheetTypes'

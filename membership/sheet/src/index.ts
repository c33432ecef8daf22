/** The replicated state of the control machines: the route sheet and the evacuated failure domains. */
export { SheetStateMachine } from './sheetStateMachine'
export type { PutResult, PutSheet, SheetCommand, SheetDocument, SheetResult } from './sheetTypes'

/** HTTP interface for operators. */
export { createOperatorApp } from './createOperatorApp'
export type { OperatorAppOptions } from './createOperatorApp'
export type * from './operatorService'

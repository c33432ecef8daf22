/** HTTP interface for callers. */
export { createCallerApp, equalInConstantTime } from './createCallerApp'
export type { CallerAppOptions } from './createCallerApp'

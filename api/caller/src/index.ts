/** The listener for callers. */
export { createCallerApp, sameText } from './createCallerApp'
export type { CallerAppOptions } from './createCallerApp'

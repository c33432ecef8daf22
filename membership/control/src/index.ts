/** The control group: accepted tables, order fences, the boxes that are live. */
export { ControlMachine } from './controlMachine'
export { BoxRegistry } from './boxRegistry'
export type { BoxRegistryOptions } from './boxRegistry'
export { createControlMethods, NoLeaseError } from './controlService'
export type { ControlServiceOptions } from './controlService'
export { VersionMarks } from './versionMarks'
export type * from './askTypes'
export type * from './controlCommands'

/** The control group: accepted tables, order fences, the boxes that are live. */
export { ControlStateMachine } from './controlStateMachine'
export { BoxRegistry } from './boxRegistry'
export type { BoxRegistryOptions } from './boxRegistry'
export { createControlMethods, NoLeaseError } from './controlService'
export type { ControlServiceOptions } from './controlService'
export { VersionFingerprints } from './versionFingerprints'
export type * from './heartbeatTypes'
export type * from './controlCommands'

/** The control group: accepted tables, order fences and the live boxes. */
export { ControlStateMachine } from './controlStateMachine'
export { BoxRegistry } from './boxRegistry'
export type { BoxRegistryOptions } from './boxRegistry'
export { createControlMethods, NoLeaseError } from './controlService'
export type { ControlServiceOptions } from './controlService'
export { VersionFingerprints } from './versionFingerprints'
export type * from './heartbeatTypes'
export type * from './controlCommands'

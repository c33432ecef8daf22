/** Endpoints that register themselves. */
export { Directory } from './directory'
export { newestPerAddress } from './newestPerAddress'
export type { InstanceId, RegisteredEndpoint, Stage } from './directoryTypes'

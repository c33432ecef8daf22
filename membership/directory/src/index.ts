/** Endpoints that register themselves. */
export { Directory } from './directory'
export type { InstanceId, RegisteredEndpoint, Stage } from './directoryTypes'

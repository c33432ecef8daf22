/** Endpoints that register themselves. */
export { Directory } from './directory'
export { lifeId, nameOf } from './endpointLife'
export { newestPerAddress } from './newestPerAddress'
export { readEndpoints } from './readEndpoints'
export type { InstanceId, RegisteredEndpoint, Stage } from './directoryTypes'

/** Endpoints that register themselves. */
export { Directory } from './directory'
export { instanceIdOf, nameOf } from './instanceIdOf'
export { newestPerAddress } from './newestPerAddress'
export { readEndpoints } from './readEndpoints'
export { versionOf } from './versionOf'
export type { InstanceId, RegisteredEndpoint, Stage } from './directoryTypes'

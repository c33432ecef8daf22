/** Endpoint owners, and the endpoints a box follows. */
export { OwnerMap } from './ownerMap'
export type { Ownership } from './ownerMap'
export { EndpointSubset } from './endpointSubset'

/** The owners of endpoints, and the endpoints that a box uses. */
export { OwnerMap } from './ownerMap'
export type { Ownership } from './ownerMap'
export { EndpointSubset } from './endpointSubset'

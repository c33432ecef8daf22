/** Endpoint owners. */
export { OwnerMap } from './ownerMap'
export type { Ownership } from './ownerMap'

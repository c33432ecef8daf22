/** A box's lease on its table. */
export { TableFollower } from './tableFollower'
export type { TableFollowerOptions } from './tableFollower'
export { createLeaseState, knownNewestSince, applyAnswer } from './leaseState'
export type { LeaseChange, LeaseState } from './leaseState'

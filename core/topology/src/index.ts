/** Failure domains, their regions and the distances between them. */
export { intersectRegions, isWithinRegions, withinRegions } from './allowedRegions'
export type { InRegion, AllowedRegions } from './allowedRegions'
export { Topology } from './topology'
export type { Distance, Region } from './topology'

/** Failure domains, their regions, and how far they are apart. */
export { intersectRegions, isWithinRegions, withinRegions } from './allowedRegions'
export type { InRegion, AllowedRegions } from './allowedRegions'
export { Topology } from './topology'
export type { Distance, Region } from './topology'

/** Failure domains, their regions, and how far they are apart. */
export { bothHomes, isWithin, withinHomes } from './homes'
export type { AtHome, Homes } from './homes'
export { Topology } from './topology'
export type { Distance, Region } from './topology'

/** Failure domains, their regions, and how far they are apart. */
export { Topology } from './topology'
export type { Distance, Region } from './topology'

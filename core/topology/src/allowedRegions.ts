import type { FailureDomain } from '@forkstage/types'
import type { Region, Topology } from './topology'

/** The regions that a request may be served and stored in: any where undefined, none where empty. */
export type AllowedRegions = readonly Region[] | undefined

declare const inRegionBrand: unique symbol

/** Something that lies in one of a request's homes. Only {@link withinRegions} makes it. */
export type InRegion<Item> = Item & { readonly [inRegionBrand]: true }

/** What each of two rules allows. */
export function intersectRegions(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined || right === undefined) return left ?? right
  return left.filter((region) => right.includes(region))
}

/**
 * Whether a failure domain lies in one of a request's homes. One that the settings give no region lies in none: nobody
 * knows where it is.
 */
export function isWithinRegions(topology: Topology, domain: FailureDomain, regions: AllowedRegions): boolean {
  if (regions === undefined) return true
  const region = topology.regionOf(domain)
  return region !== undefined && regions.includes(region)
}

/** Those of some items that lie in one of a request's homes. The one place where that is found out by type. */
export function withinRegions<Item>(
  topology: Topology,
  items: readonly Item[],
  domainOf: (item: Item) => FailureDomain,
  regions: AllowedRegions,
): InRegion<Item>[] {
  return items.filter((item) => isWithinRegions(topology, domainOf(item), regions)) as InRegion<Item>[]
}

import type { FailureDomain } from '@forkstage/types'
import type { Region, Topology } from './topology'

/** Regions in which a request may be served and stored: any if undefined, none if empty. */
export type AllowedRegions = readonly Region[] | undefined

declare const inRegionBrand: unique symbol

/** An item in one of a request's allowed regions. Created only by {@link withinRegions}. */
export type InRegion<Item> = Item & { readonly [inRegionBrand]: true }

/** Returns the regions that both of two restrictions allow. */
export function intersectRegions(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined || right === undefined) return left ?? right
  return left.filter((region) => right.includes(region))
}

/**
 * Returns whether a failure domain is in one of a request's allowed regions. A domain without a region in the settings
 * is in none of them, since its location is unknown.
 */
export function isWithinRegions(topology: Topology, domain: FailureDomain, regions: AllowedRegions): boolean {
  if (regions === undefined) return true
  const region = topology.regionOf(domain)
  return region !== undefined && regions.includes(region)
}

/** Returns the items in one of a request's allowed regions. The only function that gives items this type. */
export function withinRegions<Item>(
  topology: Topology,
  items: readonly Item[],
  domainOf: (item: Item) => FailureDomain,
  regions: AllowedRegions,
): InRegion<Item>[] {
  return items.filter((item) => isWithinRegions(topology, domainOf(item), regions)) as InRegion<Item>[]
}

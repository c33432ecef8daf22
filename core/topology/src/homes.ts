import type { FailureDomain } from '@forkstage/types'
import type { Region, Topology } from './topology'

/** The regions that a request may be served and stored in: any where undefined, none where empty. */
export type Homes = readonly Region[] | undefined

declare const atHome: unique symbol

/** Something that lies in one of a request's homes. Only {@link withinHomes} makes it. */
export type AtHome<Item> = Item & { readonly [atHome]: true }

/** What each of two rules allows. */
export function bothHomes(left: Homes, right: Homes): Homes {
  if (left === undefined || right === undefined) return left ?? right
  return left.filter((region) => right.includes(region))
}

/**
 * Whether a failure domain lies in one of a request's homes. One that the settings give no region lies in none: nobody
 * knows where it is.
 */
export function isWithin(topology: Topology, domain: FailureDomain, homes: Homes): boolean {
  if (homes === undefined) return true
  const region = topology.regionOf(domain)
  return region !== undefined && homes.includes(region)
}

/** Those of some items that lie in one of a request's homes. The one place where that is found out by type. */
export function withinHomes<Item>(
  topology: Topology,
  items: readonly Item[],
  domainOf: (item: Item) => FailureDomain,
  homes: Homes,
): AtHome<Item>[] {
  return items.filter((item) => isWithin(topology, domainOf(item), homes)) as AtHome<Item>[]
}

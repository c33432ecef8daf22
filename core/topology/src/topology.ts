import type { FailureDomain } from '@forkstage/types'

/** A place that several failure domains share; data may be bound to some of them. */
export type Region = string

/** How far two failure domains are apart. */
export type Distance = 'same-domain' | 'other-domain' | 'other-region'

/** Which region each failure domain belongs to, as the settings say. */
export class Topology {
  private readonly regions: ReadonlyMap<FailureDomain, Region>

  /** @param regions region by failure domain; empty where the deployment names none. */
  constructor(regions: Readonly<Record<FailureDomain, Region>> = {}) {
    this.regions = new Map(Object.entries(regions))
  }

  /** The region of a failure domain; undefined where the settings do not name the domain. */
  regionOf(domain: FailureDomain): Region | undefined {
    return this.regions.get(domain)
  }

  /** Every region that some failure domain belongs to. */
  get allRegions(): ReadonlySet<Region> {
    return new Set(this.regions.values())
  }

  /** Domains that the settings do not name count as parts of one region, as in a deployment that has only one. */
  distance(left: FailureDomain, right: FailureDomain): Distance {
    if (left === right) return 'same-domain'
    return this.regionOf(left) === this.regionOf(right) ? 'other-domain' : 'other-region'
  }
}

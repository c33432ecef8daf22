import type { FailureDomain } from '@forkstage/types'

/** A group of failure domains at one location; requests and their data may be restricted to certain regions. */
export type Region = string

/** Distance between two failure domains. */
export type Distance = 'same-domain' | 'other-domain' | 'other-region'

/** The region of each failure domain, as given by the settings. */
export class Topology {
  private readonly regions: ReadonlyMap<FailureDomain, Region>

  /** @param regions region by failure domain; empty if the deployment has none. */
  constructor(regions: Readonly<Record<FailureDomain, Region>> = {}) {
    this.regions = new Map(Object.entries(regions))
  }

  /** Returns the region of a failure domain; undefined if the settings do not name the domain. */
  regionOf(domain: FailureDomain): Region | undefined {
    return this.regions.get(domain)
  }

  /** All regions that have a failure domain. */
  get allRegions(): ReadonlySet<Region> {
    return new Set(this.regions.values())
  }

  /**
   * Returns the distance of two failure domains. All domains without a region count as one region, as in a deployment
   * that has only one.
   */
  distance(left: FailureDomain, right: FailureDomain): Distance {
    if (left === right) return 'same-domain'
    return this.regionOf(left) === this.regionOf(right) ? 'other-domain' : 'other-region'
  }
}

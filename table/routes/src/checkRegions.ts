/**
 * Checks the regions that a row names. An empty list, and a region that no failure domain bears, are no faults: they say
 * that nothing is served, or not now.
 * @param label the row, as messages call it.
 */
export function checkRegions(label: string, regions: unknown): string[] {
  if (regions === undefined) return []
  if (!Array.isArray(regions)) return [`${label}: regions: a list is needed`]
  const isRegionName = (region: unknown) => typeof region === 'string' && region.length > 0
  return regions.every(isRegionName) ? [] : [`${label}: regions: each is a text that is not empty`]
}

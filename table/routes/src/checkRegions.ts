/**
 * Returns the faults of the `regions` field of a row. An empty list and a region without any failure domain are valid:
 * the requests are then not served, or not at present.
 * @param label name of the row in messages.
 */
export function checkRegions(label: string, regions: unknown): string[] {
  if (regions === undefined) return []
  if (!Array.isArray(regions)) return [`${label}: regions: a list is needed`]
  const isRegionName = (region: unknown) => typeof region === 'string' && region.length > 0
  return regions.every(isRegionName) ? [] : [`${label}: regions: each must be a non-empty string`]
}

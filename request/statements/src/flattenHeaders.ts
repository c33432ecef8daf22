/** Converts headers grouped by name, as HTTP clients return them, to a flat list of alternating names and values. */
export function flattenHeaders(headers: Record<string, string | string[] | undefined>): string[] {
  return Object.entries(headers).flatMap(([name, values]) =>
    [values ?? []].flat().flatMap((value) => [name, value]),
  )
}

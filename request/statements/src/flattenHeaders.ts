/** Fields of an HTTP client that groups them by name, as names and values by turns. */
export function flattenHeaders(headers: Record<string, string | string[] | undefined>): string[] {
  return Object.entries(headers).flatMap(([name, values]) =>
    [values ?? []].flat().flatMap((value) => [name, value]),
  )
}

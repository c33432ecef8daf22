/** Headers that belong to one connection and are not forwarded. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
])
/** Headers that the router handles itself. */
const NOT_FORWARDED = new Set(['authorization', 'host', 'content-length', 'expect'])

/** Returns the headers to forward: none of one connection, of the router, or that `connection` names. */
export function forwardableHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const named = String(headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase())
  const kept = Object.entries(headers).filter(([name, value]) => {
    const lower = name.toLowerCase()
    return (
      value !== undefined && !HOP_BY_HOP.has(lower) && !NOT_FORWARDED.has(lower) && !named.includes(lower)
    )
  })
  return Object.fromEntries(kept) as Record<string, string | string[]>
}

/** Joins the values of each header into one, as the journal stores them. */
export function joinHeaderValues(headers: Record<string, string | string[]>): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]),
  )
}

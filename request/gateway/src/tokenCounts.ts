import { firstValue, type CallerRequest } from './callerRequest'
import type { GatewayWire, TokenCounts } from './gatewayWire'

/** Far more than any engine holds; a larger declaration is an error and would use up a quota at once. */
const MAX_TOKENS = 100_000_000

/** Returns the tokens that a request declares; undefined if it names none, `malformed` if they are invalid. */
export function tokenCountsOf(
  request: CallerRequest,
  wire: GatewayWire,
): TokenCounts | 'malformed' | undefined {
  const value = firstValue(request.headers[wire.headers.tokenCounts])
  if (value === undefined) return undefined
  const counts = wire.readTokenCounts(value)
  if (counts === undefined || counts.prompt + counts.most > MAX_TOKENS) return 'malformed'
  return counts
}

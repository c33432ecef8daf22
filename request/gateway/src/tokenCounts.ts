import { firstValue, type CallerRequest } from './callerRequest'
import type { GatewayWire, TokenCounts } from './gatewayWire'

/** More than any engine holds by far; what declares more is an error, and would empty a quota at once. */
const MAX_TOKENS = 100_000_000

/** The tokens that a request declares; undefined where it names none, `malformed` where they cannot be meant. */
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

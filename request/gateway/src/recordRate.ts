import { firstValue } from './callerRequest'
import type { PooledEndpoint } from './pooledEndpoint'
import type { AnswerHead } from './exchange'
import type { RelayParts } from './relayParts'

/**
 * Records the rate limit that an endpoint names in an answer.
 * @param isSuccess whether the endpoint did what was requested. Only a successful answer without a rate clears an earlier
 *   one: a failure may have been answered by a component that does not know the rate.
 */
export function recordRate(
  { wire, rates }: RelayParts,
  { endpoint }: PooledEndpoint,
  head: AnswerHead,
  isSuccess: boolean,
): void {
  const value = firstValue(head.headers[wire.headers.rateLimit])
  const perSecond = value === undefined ? undefined : wire.readRateLimit(value)
  if (perSecond !== undefined) return rates?.recordAnswer(endpoint.id, perSecond)
  if (value === undefined && isSuccess) rates?.recordAnswer(endpoint.id, undefined)
}

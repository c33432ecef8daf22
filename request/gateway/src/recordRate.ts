import { firstValue } from './callerRequest'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead } from './exchange'
import type { RelayParts } from './relayParts'

/**
 * Takes the rate that an endpoint names.
 * @param isSuccess whether it has done what it was asked. Only such an answer without a word takes an earlier rate back: what
 *   answers a failure may not be what knows the rate.
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

import { nameOf } from '@forkstage/directory'
import { single } from './callerRequest'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead } from './exchange'
import { judgeAnswer, type Verdict } from './judgeAnswer'
import type { RelayJob, RelayParts } from './relayParts'

/** Judges the answer to a sending, and takes what its endpoint says there of itself. */
export function readVerdict(
  parts: RelayParts,
  { request }: RelayJob,
  at: PooledEndpoint,
  head: AnswerHead,
): Verdict {
  const asked = { id: request.id, instance: nameOf(at.endpoint) }
  const verdict = judgeAnswer(head, asked, parts.wire.headers)
  if (verdict === 'answer' || verdict === 'not-run') noteRate(parts, at, head, verdict)
  return verdict
}

/**
 * Only a success without a word takes an earlier rate back: what answers a failure may not be what knows the rate.
 */
function noteRate(
  { wire, rates }: RelayParts,
  { endpoint }: PooledEndpoint,
  head: AnswerHead,
  verdict: Verdict,
): void {
  const value = single(head.headers[wire.headers.rateLimit])
  const perSecond = value === undefined ? undefined : wire.readRateLimit(value)
  if (perSecond !== undefined) return rates?.note(endpoint.id, perSecond)
  const isSuccess = verdict === 'answer' && head.status >= 200 && head.status < 300
  if (value === undefined && isSuccess) rates?.note(endpoint.id, undefined)
}

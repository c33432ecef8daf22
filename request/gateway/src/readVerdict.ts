import { nameOf } from '@forkstage/directory'
import type { PooledEndpoint } from './pooledEndpoint'
import type { AnswerHead } from './exchange'
import { judgeAnswer, type Verdict } from './judgeAnswer'
import { recordStatements } from './recordStatements'
import type { RelayJob, RelayParts } from './relayParts'

/**
 * Judges the answer to a sending and records what its endpoint states in the head. Statements count in every answer of the
 * intended instance, even if the answer belongs to no known request; only those of another process at the address do not.
 * @param isPrefilled whether the answer contains the handle of a prefilled prompt; it need not name the request then.
 */
export function readVerdict(
  parts: RelayParts,
  { request }: RelayJob,
  at: PooledEndpoint,
  head: AnswerHead,
  isPrefilled = false,
): Verdict {
  const asked = { id: request.id, instance: nameOf(at.endpoint) }
  const verdict = judgeAnswer(head, asked, parts.wire.headers)
  if (verdict === 'other-instance' || verdict === 'misdirected') return verdict
  const isOwn = verdict === 'answer' || isPrefilled
  const isSuccess = isOwn && head.status >= 200 && head.status < 300
  recordStatements(parts, at, head, { request: request.id, isSuccess })
  if (isOwn) parts.availability?.recordSuccess(at.endpoint.id)
  return verdict
}

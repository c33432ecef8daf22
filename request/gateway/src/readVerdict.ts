import { nameOf } from '@forkstage/directory'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead } from './exchange'
import { judgeAnswer, type Verdict } from './judgeAnswer'
import { recordStatements } from './recordStatements'
import type { RelayJob, RelayParts } from './relayParts'

/**
 * Judges the answer to a sending, and takes what its endpoint says there of itself. Whose word a head is, is another question
 * than which request it answers: all but another process's at the same address.
 * @param isPrefilled whether the answer names the memory of a prompt; it need not name the request then.
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
  if (verdict === 'other-instance') return verdict
  const isOwn = verdict === 'answer' || isPrefilled
  const isSuccess = isOwn && head.status >= 200 && head.status < 300
  recordStatements(parts, at, head, { request: request.id, isSuccess })
  if (isOwn) parts.statements?.recordSuccess(at.endpoint.id)
  return verdict
}

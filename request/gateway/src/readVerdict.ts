import { nameOf } from '@forkstage/directory'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead } from './exchange'
import { judgeAnswer, type Verdict } from './judgeAnswer'
import { noteRate } from './noteRate'
import { noteStatements } from './noteStatements'
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
  if (verdict !== 'other-instance') noteStatements(parts, at, head, request.id)
  if (verdict === 'answer') parts.statements?.noteWell(at.endpoint.id)
  return verdict
}

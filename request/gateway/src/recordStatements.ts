import { readRetryAfter } from '@forkstage/statements'
import { firstValue } from './callerRequest'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead } from './exchange'
import { recordRate } from './recordRate'
import type { RelayParts } from './relayParts'

/** The answer that was given. */
export interface AnswerContext {
  /** What was asked, for the log. */
  request: string
  /** Whether its endpoint has done what it was asked. */
  isSuccess?: boolean
}

/**
 * Takes what an endpoint says in an answer's head of what it wants from here. Each exchange has a connection of its own, so
 * that the head is the endpoint's also where it proves nothing of the request: a failure, an answer that names no request.
 * Unheard, such an endpoint draws requests: one that turns them away at once looks idle and quick.
 */
export function recordStatements(
  parts: RelayParts,
  at: PooledEndpoint,
  head: AnswerHead,
  { request, isSuccess = false }: AnswerContext,
): void {
  recordRate(parts, at, head, isSuccess)
  const { wire, statements, pool } = parts
  if (statements === undefined) return
  const { id } = at.endpoint
  // A field that comes twice has both values in one.
  const values = firstValue(head.headers[wire.headers.leaving])?.split(',') ?? []
  if (values.some((value) => wire.readLeaving(value.trim()))) {
    statements.recordLeaving(id, request)
    pool.recordLeaving(at)
  }
  statements.recordRetryAfter(id, readRetryAfter(head), request)
}

import { readRetryAfter } from '@forkstage/statements'
import { firstValue } from './callerRequest'
import type { PooledEndpoint } from './pooledEndpoint'
import type { AnswerHead } from './exchange'
import { recordRate } from './recordRate'
import type { RelayParts } from './relayParts'

/** The request that an answer belongs to. */
export interface AnswerContext {
  /** Request id or handle, for the log. */
  request: string
  /** Whether the endpoint did what was requested. */
  isSuccess?: boolean
}

/**
 * Records what an endpoint states in an answer's head: its rate limit, that it leaves, or a backoff (Retry-After). Each
 * exchange has its own connection, so the statement is valid even if the head proves nothing about the request, such as a
 * failure or an answer without a request id. If ignored, an endpoint that rejects at once would look idle and fast and
 * attract more requests.
 */
export function recordStatements(
  parts: RelayParts,
  at: PooledEndpoint,
  head: AnswerHead,
  { request, isSuccess = false }: AnswerContext,
): void {
  recordRate(parts, at, head, isSuccess)
  const { wire, availability, pool } = parts
  if (availability === undefined) return
  const { id } = at.endpoint
  // Repeated header fields are joined with commas.
  const values = firstValue(head.headers[wire.headers.leaving])?.split(',') ?? []
  if (values.some((value) => wire.readLeaving(value.trim()))) {
    availability.recordLeaving(id, request)
    pool.recordLeaving(at)
  }
  availability.recordRetryAfter(id, readRetryAfter(head), request)
}

import { readRest } from '@forkstage/statements'
import { single } from './callerRequest'
import type { PooledEndpoint } from './endpointPool'
import type { AnswerHead } from './exchange'
import type { RelayParts } from './relayParts'

/**
 * Takes what an endpoint says in an answer's head of what it wants from here. Each exchange has a connection of its own, so
 * that the head is the endpoint's also where it proves nothing of the request: a failure, an answer that names no request.
 */
export function noteStatements(
  { wire, statements }: Pick<RelayParts, 'wire' | 'statements'>,
  { endpoint }: PooledEndpoint,
  head: AnswerHead,
  request: string,
): void {
  // A field that comes twice has both values in one.
  const words = single(head.headers[wire.headers.leaving])?.split(',') ?? []
  if (words.some((word) => wire.readLeaving(word.trim()))) statements?.noteLeaving(endpoint.id, request)
  statements?.noteRest(endpoint.id, readRest(head), request)
}

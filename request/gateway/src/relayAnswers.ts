import type { ServerResponse } from 'node:http'
import type { Millis } from '@forkstage/types'
import { dropHeaders } from './callerRequest'
import type { AnswerHead } from './exchange'
import { sendEndpointAnswer, sendOwnAnswer } from './ownAnswer'
import type { RelayResult } from './relayParts'

/** Statuses that imply that the request did not run; never forwarded for a request that may have run. */
export const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** The outcome of a request whose caller closed its connection. */
export const CALLER_DISCONNECTED = 'caller gone'

/** The result that is logged for a request, without its sendings. */
export type OwnResult = Omit<RelayResult, 'sends'>

/** Answers that the request failed and may have run. */
export function answerFailure(response: ServerResponse, status: number, reason: string): OwnResult {
  const message = `No whole answer came back: ${reason}.`
  sendOwnAnswer(response, { status, code: 'FORKSTAGE_MAY_HAVE_RUN', message })
  return { status, outcome: reason }
}

/** Answers that the request has not run and never will, with a time to retry after. */
export function answerRefusal(response: ServerResponse, reason: string, retryAfterMs: Millis): OwnResult {
  const message = `The request was not run: ${reason}.`
  sendOwnAnswer(response, { status: 503, code: 'FORKSTAGE_NOT_RUN', message, retryAfterMs })
  return { status: 503, outcome: reason, hasNotRun: true }
}

/** Forwards a failure of an endpoint; 502 if its status would imply that nothing ran. Returns the status that was sent. */
export function forwardFailure(response: ServerResponse, head: AnswerHead, parts: Buffer[]): number {
  if (NOT_RUN_STATUSES.has(head.status)) {
    answerFailure(response, 502, 'the engine answered with a retry status but may have run the request')
    return 502
  }
  const rawHeaders = dropHeaders(head.rawHeaders, ['content-length'])
  sendEndpointAnswer(response, { status: head.status, rawHeaders, parts, isFramed: head.isFramed })
  return head.status
}

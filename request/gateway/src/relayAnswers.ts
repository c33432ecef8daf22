import type { ServerResponse } from 'node:http'
import type { Millis } from '@forkstage/types'
import { dropHeaders } from './callerRequest'
import type { AnswerHead } from './exchange'
import { sendEndpointAnswer, sendOwnAnswer } from './ownAnswer'
import type { RelayResult } from './relayParts'

/** Answers of an endpoint that promise that nothing ran; never sent on for a request that did. */
export const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** What became of a request whose caller closed its connection. */
export const CALLER_GONE = 'caller gone'

/** What an answer of this entry's own leaves in the log. */
export type OwnResult = Omit<RelayResult, 'sends'>

/** Answers that the request may have run: promises nothing. */
export function answerFailure(response: ServerResponse, status: number, reason: string): OwnResult {
  const message = `No whole answer came back: ${reason}.`
  sendOwnAnswer(response, { status, code: 'FORKSTAGE_MAY_HAVE_RUN', message })
  return { status, outcome: reason }
}

/** Answers that the request has not run and never will, with when to come back. */
export function answerRefusal(response: ServerResponse, reason: string, retryAfterMs: Millis): OwnResult {
  const message = `The request was not run: ${reason}.`
  sendOwnAnswer(response, { status: 503, code: 'FORKSTAGE_NOT_RUN', message, retryAfterMs })
  return { status: 503, outcome: reason, hasNotRun: true }
}

/** Sends an endpoint's whole failure on, unless it promises what cannot be kept; gives the status that the caller gets. */
export function forwardFailure(response: ServerResponse, head: AnswerHead, body: Buffer): number {
  if (NOT_RUN_STATUSES.has(head.status)) {
    answerFailure(response, 502, 'the engine gave a promise it cannot keep')
    return 502
  }
  const rawHeaders = dropHeaders(head.rawHeaders, ['content-length'])
  sendEndpointAnswer(response, { status: head.status, rawHeaders, body, isFramed: head.isFramed })
  return head.status
}

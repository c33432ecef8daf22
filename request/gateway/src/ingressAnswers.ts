import type { ServerResponse } from 'node:http'
import type { Millis } from '@forkstage/types'
import type { CallerRequest } from './callerRequest'
import { sendOwnAnswer, type OwnAnswer } from './ownAnswer'
import { answerRefusal } from './relayAnswers'
import type { RelayParts, RelayResult } from './relayParts'
import { LEAVING_RETRY_MS, OUTLASTS_STOP } from './stopAdmission'

const NO_SHEET_RETRY_MS = 500
const OVERLOADED_RETRY_MS = 500

/** Refuses a request whose headers are longer than the sheet allows. */
export function refuseLongHeaders(response: ServerResponse): void {
  sendOwnAnswer(response, {
    status: 431,
    code: 'FORKSTAGE_HEADERS_TOO_LONG',
    message: 'The headers are longer than the sheet allows.',
    close: true,
  })
}

/** The answer to a request whose body is larger than the sheet allows. */
export const BODY_TOO_LARGE: OwnAnswer = {
  status: 413,
  code: 'FORKSTAGE_BODY_TOO_LARGE',
  message: 'The body is longer than the sheet allows.',
}

/** The answer to a request whose body was not there when its time was up. */
export const BODY_TOO_SLOW: OwnAnswer = {
  status: 408,
  code: 'FORKSTAGE_BODY_TOO_SLOW',
  message: 'The body was not there when the time was up; the request was not run.',
}

/** Returns the answer to a request for whose body this entry has no memory. */
export function noRoomForBody(random: () => number): OwnAnswer {
  return {
    status: 503,
    code: 'FORKSTAGE_NO_MEMORY',
    message: 'This entry has no memory left for the body; the request was not run.',
    retryAfterMs: spreadRetryMs(random),
  }
}

/** Refuses a request because no route sheet is known yet. */
export function answerNoSheet(request: CallerRequest): RelayResult {
  sendOwnAnswer(request.response, {
    status: 503,
    code: 'FORKSTAGE_NO_SHEET',
    message: 'This entry knows no routes yet.',
    retryAfterMs: NO_SHEET_RETRY_MS,
  })
  return { status: 503, outcome: 'no sheet yet', sends: [] }
}

/** Refuses a request because this entry is shutting down. */
export function answerLeaving(request: CallerRequest): RelayResult {
  sendOwnAnswer(request.response, {
    status: 503,
    code: 'FORKSTAGE_LEAVING',
    message: 'This entry is shutting down; another entry can take the request.',
    retryAfterMs: LEAVING_RETRY_MS,
  })
  return { status: 503, outcome: 'leaving', sends: [] }
}

/** Refuses a request whose answer may not be complete before this entry ends. */
export function answerOutlasting({ response }: CallerRequest): RelayResult {
  return { ...answerRefusal(response, OUTLASTS_STOP, LEAVING_RETRY_MS), sends: [] }
}

/** Refuses a request on an open connection because this entry has more than it can handle. */
export function answerOverloaded(
  request: CallerRequest,
  { random }: Pick<RelayParts, 'random'>,
): RelayResult {
  sendOwnAnswer(request.response, {
    status: 503,
    code: 'FORKSTAGE_OVERLOADED',
    message: 'This entry has more requests in progress than it can handle.',
    retryAfterMs: spreadRetryMs(random),
  })
  return { status: 503, outcome: 'entry overloaded', sends: [] }
}

/** Refuses a request because answers that callers do not read fill the memory for them. */
export function answerNoMemory(request: CallerRequest, { random }: Pick<RelayParts, 'random'>): RelayResult {
  sendOwnAnswer(request.response, {
    status: 503,
    code: 'FORKSTAGE_NO_MEMORY',
    message: 'This entry has no memory left for answers.',
    retryAfterMs: spreadRetryMs(random),
  })
  return { status: 503, outcome: 'answers fill the memory', sends: [] }
}

/** Answers a request that no route matches. */
export function answerNoRoute(request: CallerRequest): RelayResult {
  sendOwnAnswer(request.response, {
    status: 404,
    code: 'FORKSTAGE_NO_ROUTE',
    message: 'No route matches this host and path.',
  })
  return { status: 404, outcome: 'no route', sends: [] }
}

/** Answers a request whose token counts are invalid. */
export function answerMalformedCounts(request: CallerRequest): RelayResult {
  sendOwnAnswer(request.response, {
    status: 400,
    code: 'FORKSTAGE_TOKEN_COUNTS',
    message: 'The token counts header does not contain a valid pair of counts.',
  })
  return { status: 400, outcome: 'malformed token counts', sends: [] }
}

/** Answers a request without an id. */
export function answerNoId(request: CallerRequest): RelayResult {
  sendOwnAnswer(request.response, {
    status: 400,
    code: 'FORKSTAGE_NO_REQUEST_ID',
    message: 'The request has no id.',
  })
  return { status: 400, outcome: 'no request id', sends: [] }
}

/** Spread, so that refused callers do not return at the same moment. */
function spreadRetryMs(random: () => number): Millis {
  return OVERLOADED_RETRY_MS * (1 + random())
}

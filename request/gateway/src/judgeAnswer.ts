import type { AnswerHead } from './exchange'
import type { HeaderNames } from './gatewayWire'

/** What an answer's head proves. */
export type Verdict =
  /** The endpoint's own answer to this request. */
  | 'answer'
  /** The endpoint did not run the request and never will. */
  | 'not-run'
  /** Another process has the address: the instance is gone, and the request did not run. */
  | 'other-instance'
  /** No proof of anything: another request's answer, or none in the protocol. */
  | 'foreign'

const MISDIRECTED = 421

/** Reads from an answer's head whose it is and whether the request ran. */
export function judgeAnswer(
  head: AnswerHead,
  request: { id: string; instance: string },
  names: HeaderNames,
): Verdict {
  // The same instance says this of work that it does not do at the moment.
  const isSame = head.headers[names.instance] === request.instance
  if (head.status === MISDIRECTED) return isSame ? 'not-run' : 'other-instance'
  if (head.headers[names.notExecuted] !== undefined) return 'not-run'
  if (head.headers[names.requestId] !== request.id) return 'foreign'
  const isSuccess = head.status >= 200 && head.status < 300
  if (isSuccess && head.headers[names.stamp] === undefined) return 'foreign'
  return 'answer'
}

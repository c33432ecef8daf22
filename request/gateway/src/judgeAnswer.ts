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
export function judgeAnswer(head: AnswerHead, requestId: string, names: HeaderNames): Verdict {
  const isOther = head.status === MISDIRECTED
  if (head.headers[names.notExecuted] !== undefined) return isOther ? 'other-instance' : 'not-run'
  if (isOther) return 'other-instance'
  if (head.headers[names.requestId] !== requestId) return 'foreign'
  const isSuccess = head.status >= 200 && head.status < 300
  if (isSuccess && head.headers[names.stamp] === undefined) return 'foreign'
  return 'answer'
}

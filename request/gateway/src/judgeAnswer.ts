import type { AnswerHead } from './exchange'
import type { HeaderNames } from './gatewayWire'

/** What the head of an answer proves about a request. */
export type Verdict =
  /** The answer of the intended endpoint to this request. */
  | 'answer'
  /** The endpoint did not run the request and never will. */
  | 'not-run'
  /** Another process owns the address: the instance is gone, and the request did not run. */
  | 'other-instance'
  /** A process that does not name itself refused the request, which did not run; it may be the intended one. */
  | 'misdirected'
  /** Proves nothing: the answer to another request, or not an answer of this protocol. */
  | 'foreign'

const MISDIRECTED = 421

/** Determines from the head of an answer which process sent it and whether the request ran. */
export function judgeAnswer(
  head: AnswerHead,
  request: { id: string; instance: string },
  names: HeaderNames,
): Verdict {
  if (head.status === MISDIRECTED) return judgeMisdirected(head.headers[names.instance], request.instance)
  if (head.headers[names.notExecuted] !== undefined) return 'not-run'
  if (head.headers[names.requestId] !== request.id) return 'foreign'
  const isSuccess = head.status >= 200 && head.status < 300
  if (isSuccess && head.headers[names.stamp] === undefined) return 'foreign'
  return 'answer'
}

/** The intended instance also answers 421 to work that it does not accept at the moment. */
function judgeMisdirected(named: string | string[] | undefined, intended: string): Verdict {
  if (named === undefined) return 'misdirected'
  return named === intended ? 'not-run' : 'other-instance'
}

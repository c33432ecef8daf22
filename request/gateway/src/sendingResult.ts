import type { AnswerHead } from './exchange'

/** The result of one sending. */
export type SendingResult =
  | { type: 'answer'; head: AnswerHead; parts: Buffer[] }
  | { type: 'not-run'; arrived: boolean }
  | { type: 'unknown'; reason: string }

/** Returns why a sending got no successful answer, for the log and the caller. */
export function reasonOf(sending: SendingResult): string {
  if (sending.type === 'unknown') return sending.reason
  if (sending.type === 'answer') return `the endpoint failed with ${sending.head.status}`
  return sending.arrived ? 'the endpoint refused' : 'the endpoint was not reached'
}

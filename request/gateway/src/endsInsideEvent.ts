import type { EventSplitter } from './eventSplitter'
import type { AnswerHead } from './exchange'

export const ENDED_INSIDE_EVENT = 'the answer ended inside an event'

/**
 * Whether an answer that ended with its connection was broken off: with neither a length nor chunks, an incomplete event
 * is all that tells.
 */
export function endsInsideEvent({ isFramed }: AnswerHead, { unfinished }: EventSplitter): boolean {
  return !isFramed && unfinished.length > 0
}

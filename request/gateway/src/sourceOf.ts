import type { AnswerSource } from './answerMemory'
import type { Exchange } from './exchange'

/** Returns an exchange as a source that the memory of answers pauses. */
export function sourceOf(exchange: Exchange): AnswerSource {
  return { pause: () => exchange.pause('memory'), resume: () => exchange.resume('memory') }
}

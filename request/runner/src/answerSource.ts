import type { RequestEnd } from '@forkstage/machine'
import type { RequestId } from '@forkstage/types'
import type { ModelRun } from './modelRun'

/** A part of an answer: tokens in order, and the end if no more tokens follow. */
export interface AnswerPart {
  tokens: string[]
  end?: RequestEnd
}

/** The source of a caller's answer: a run on this box, a run on another box, or the journal. */
export interface AnswerSource {
  request: RequestId
  /** Waits for tokens after the first `from`, or the end. */
  next(from: number): Promise<AnswerPart>
  /** Called when the caller has disconnected. */
  close(): void
}

/** Follows a run on this box. */
export function followRun(run: ModelRun, onClose: () => void): AnswerSource {
  let wake = () => undefined as void
  const unlisten = run.listen(() => wake())
  const read = (from: number): AnswerPart => ({ tokens: run.tokensFrom(from), end: run.end })
  return {
    request: run.id,
    async next(from) {
      for (;;) {
        const part = read(from)
        if (part.tokens.length > 0 || part.end !== undefined) return part
        await new Promise<void>((resolve) => (wake = resolve))
      }
    },
    close() {
      unlisten()
      wake()
      onClose()
    },
  }
}

/** Returns an answer that is stored in the journal. */
export function replayAnswer(request: RequestId, tokens: string[], finish: string): AnswerSource {
  const end: RequestEnd = { type: 'answered', tokens: tokens.length, finish }
  return {
    request,
    next: (from) => Promise.resolve({ tokens: tokens.slice(from), end }),
    close: () => undefined,
  }
}

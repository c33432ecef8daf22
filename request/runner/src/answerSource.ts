import type { RequestEnd } from '@forkstage/machine'
import type { RequestId } from '@forkstage/types'
import type { ModelRun } from './modelRun'

/** More of an answer: tokens in order, and the end once there is nothing after them. */
export interface AnswerPart {
  tokens: string[]
  end?: RequestEnd
}

/** Where a caller's answer comes from: a run on this box, one on another, or the journal. */
export interface AnswerSource {
  request: RequestId
  /** Waits for tokens after the first `from`, or the end. */
  next(from: number): Promise<AnswerPart>
  /** The caller is gone. */
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

/** Hands back an answer that the journal has kept. */
export function replayAnswer(request: RequestId, tokens: string[], finish: string): AnswerSource {
  const end: RequestEnd = { type: 'answered', tokens: tokens.length, finish }
  return {
    request,
    next: (from) => Promise.resolve({ tokens: tokens.slice(from), end }),
    close: () => undefined,
  }
}

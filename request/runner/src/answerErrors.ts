import { ForkstageError } from '@forkstage/error'
import type { Execution, RequestId } from '@forkstage/types'

/** An error that ends a caller's request, with what is promised about its execution. */
export class AnswerError extends ForkstageError {
  constructor(
    code: `FORKSTAGE_${string}`,
    message: string,
    hint: string,
    readonly status: number,
    readonly execution: Execution,
    readonly retryAfterMs?: number,
    origin: { step?: string; peer?: string; cause?: unknown } = {},
  ) {
    super(code, message, hint, origin)
  }
}

/** The key stands for another request. */
export class KeyReusedError extends AnswerError {
  constructor(key: string) {
    super(
      'FORKSTAGE_KEY_REUSED',
      `The key ${key} was used for another request.`,
      'Use a new key for a new request.',
      422,
      'not-run',
      undefined,
      {
        step: 'claim',
      },
    )
  }
}

/** A request that may not be repeated was begun and its outcome is not known. */
export class MayHaveRunError extends AnswerError {
  constructor(request: RequestId) {
    super(
      'FORKSTAGE_MAY_HAVE_RUN',
      `Request ${request} was begun and its outcome is not known.`,
      'It is not run again. Send the same key later to ask for its outcome.',
      409,
      'may-have-run',
      1_000,
      { step: 'claim' },
    )
  }
}

/** The request ran; its answer was too large to be kept. */
export class OutcomeNotKeptError extends AnswerError {
  constructor(request: RequestId, digest: string) {
    super(
      'FORKSTAGE_OUTCOME_NOT_KEPT',
      `Request ${request} ran; its answer (SHA-256 ${digest}) was too large to keep.`,
      'Use a new key to have it run again, if it may be.',
      409,
      'ran',
      undefined,
      { step: 'replay outcome' },
    )
  }
}

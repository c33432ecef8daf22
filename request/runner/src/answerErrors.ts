import { ForkstageError } from '@forkstage/error'
import type { Execution, RequestId } from '@forkstage/types'

/** An error that ends a caller's request, and states whether the request was or may have been executed. */
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

/** Raised when a key was already used for another request. */
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

/** Raised when a request that may not be repeated was started and its outcome is unknown. */
export class MayHaveRunError extends AnswerError {
  constructor(request: RequestId) {
    super(
      'FORKSTAGE_MAY_HAVE_RUN',
      `Request ${request} was started and its outcome is unknown.`,
      'The request is not run again. Send the same key later to get its outcome.',
      409,
      'may-have-run',
      1_000,
      { step: 'claim' },
    )
  }
}

/** Raised when a request has run and its answer was too large to be stored. */
export class OutcomeNotKeptError extends AnswerError {
  constructor(request: RequestId, digest: string) {
    super(
      'FORKSTAGE_OUTCOME_NOT_KEPT',
      `Request ${request} ran; its answer (SHA-256 ${digest}) was too large to keep.`,
      'Use a new key to run the request again, if it may be repeated.',
      409,
      'ran',
      undefined,
      { step: 'replay outcome' },
    )
  }
}

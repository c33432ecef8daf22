/** Where an error occurred: the step that failed and, if there was one, the peer. */
export interface ErrorOrigin {
  /** The step of the request, for example `claim` or `prefill`. */
  step?: string
  /** The box, endpoint or replica on the other side of the call. */
  peer?: string
  cause?: unknown
}

/** An error as plain data, as sent to other processes. */
export interface ErrorBody {
  code: string
  message: string
  hint: string
  step?: string
  peer?: string
}

/**
 * The base class of all errors that the project raises itself.
 * `code` is stable across releases; `hint` describes what to do next.
 */
export class ForkstageError extends Error {
  readonly code: `FORKSTAGE_${string}`
  readonly hint: string
  readonly step?: string
  readonly peer?: string

  constructor(code: `FORKSTAGE_${string}`, message: string, hint: string, origin: ErrorOrigin = {}) {
    super(message, { cause: origin.cause })
    this.name = new.target.name
    this.code = code
    this.hint = hint
    this.step = origin.step
    this.peer = origin.peer
  }

  /** Returns the error as plain data, for an HTTP body, an RPC response or a log line. */
  toBody(): ErrorBody {
    const body: ErrorBody = { code: this.code, message: this.message, hint: this.hint }
    if (this.step !== undefined) body.step = this.step
    if (this.peer !== undefined) body.peer = this.peer
    return body
  }
}

/** Raised when an invariant that the program asserts about itself does not hold. */
export class InvariantError extends ForkstageError {
  constructor(invariant: string, detail: string, origin: ErrorOrigin = {}) {
    super(
      'FORKSTAGE_INVARIANT',
      `Invariant "${invariant}" does not hold: ${detail}`,
      'This is a bug in forkstage. Keep the surrounding log lines and report it.',
      origin,
    )
  }
}

/** Throws an {@link InvariantError} unless the condition holds. */
export function assertInvariant(
  condition: boolean,
  invariant: string,
  detail: () => string,
): asserts condition {
  if (!condition) throw new InvariantError(invariant, detail())
}

/** Converts any thrown value to an error body without its stack. */
export function toErrorBody(error: unknown): ErrorBody {
  if (error instanceof ForkstageError) return error.toBody()
  const message = error instanceof Error ? error.message : String(error)
  return {
    code: 'FORKSTAGE_UNEXPECTED',
    message,
    hint: 'This error is unexpected. See the log of the box for details.',
  }
}

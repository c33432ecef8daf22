/** Where an error arose: the step that failed and, where one was involved, the peer. */
export interface ErrorOrigin {
  /** The step of the work, for example `claim` or `prefill`. */
  step?: string
  /** The box, endpoint or replica that was being talked to. */
  peer?: string
  cause?: unknown
}

/** The shape in which an error crosses a process boundary. */
export interface ErrorBody {
  code: string
  message: string
  hint: string
  step?: string
  peer?: string
}

/**
 * The base of every error the project raises on purpose.
 * `code` is stable across releases; `hint` tells the reader what to do next.
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

  /** The error as plain data, for an HTTP body, an RPC answer or a log line. */
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
      'This is a defect of forkstage. Keep the log lines around it and report it.',
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

/** Describes anything thrown as an error body, so that no bare stack reaches a reader. */
export function toErrorBody(error: unknown): ErrorBody {
  if (error instanceof ForkstageError) return error.toBody()
  const message = error instanceof Error ? error.message : String(error)
  return {
    code: 'FORKSTAGE_UNEXPECTED',
    message,
    hint: 'This error was not foreseen. The log of the box has the details.',
  }
}

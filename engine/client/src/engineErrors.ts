import { ForkstageError } from '@forkstage/error'
import type { RetryAfter } from '@forkstage/statements'

/** The header by which an endpoint proves that it did not run a request it refuses. */
export const NOT_RUN_HEADER = 'x-endpoint-ran'
/** The header's value that is the proof. */
export const NOT_RUN_VALUE = 'no'

/** Raised when an endpoint did not do what it was asked. */
export class EndpointError extends ForkstageError {
  /** Whether it is proved that the endpoint ran nothing of it. */
  readonly notRun: boolean
  /** The endpoint's own code, where it answered. */
  readonly reason: string
  /** When it wants to be asked again, where it answered so. */
  readonly retryAfter: RetryAfter

  constructor(
    peer: string,
    step: string,
    reason: string,
    notRun: boolean,
    { cause, retryAfter = { type: 'none' } }: { cause?: unknown; retryAfter?: RetryAfter } = {},
  ) {
    super(
      'FORKSTAGE_ENDPOINT',
      `${peer} failed at ${step}: ${reason}`,
      'See the endpoint itself; forkstage tries another where it may.',
      {
        step,
        peer,
        cause,
      },
    )
    this.reason = reason
    this.notRun = notRun
    this.retryAfter = retryAfter
  }
}

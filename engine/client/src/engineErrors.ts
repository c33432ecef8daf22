import { ForkstageError } from '@forkstage/error'
import type { RetryAfter } from '@forkstage/statements'

/** Header with which an endpoint proves that it did not run a refused request. */
export const NOT_RUN_HEADER = 'x-endpoint-ran'
/** Value of {@link NOT_RUN_HEADER} that counts as proof. */
export const NOT_RUN_VALUE = 'no'

/** Raised when a step at an endpoint fails. */
export class EndpointError extends ForkstageError {
  /** Whether it is proven that the endpoint ran no part of the step. */
  readonly notRun: boolean
  /** Error code of the endpoint's answer; without one, the HTTP status or the message of the failure. */
  readonly reason: string
  /** Delay that the endpoint asked for before the next call; type `none` when it asked for none. */
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
      'Check the logs of that endpoint; forkstage retries on another one where that is safe.',
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

import type { Clock } from '@forkstage/clock'
import { EndpointError, type AttemptId, type EngineClient } from '@forkstage/engine-client'
import type { Logger } from '@forkstage/logger'
import type { EndpointName, EndpointRow, Millis } from '@forkstage/types'

/** Options of {@link ReleaseSender}. */
export interface ReleaseSenderOptions {
  engines: EngineClient
  row: (endpoint: EndpointName) => EndpointRow | undefined
  clock: Clock
  logger: Logger
}

const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 2_000
/** By then the engine has restarted, or the endpoint's owner has released the hold in its sweep. */
const GIVE_UP_AFTER_MS = 60_000

/** Releases what engines hold for ended requests, and retries until the engine confirms. */
export class ReleaseSender {
  private pendingCount = 0

  constructor(private readonly options: ReleaseSenderOptions) {}

  /** The number of releases that are not confirmed yet. */
  get pending(): number {
    return this.pendingCount
  }

  /** Releases what an endpoint holds for an attempt, with retries in the background. */
  release(endpoint: EndpointName, attempt: AttemptId): void {
    this.pendingCount += 1
    this.tryRelease(endpoint, attempt, FIRST_RETRY_MS, this.options.clock.now() + GIVE_UP_AFTER_MS)
  }

  private tryRelease(endpoint: EndpointName, attempt: AttemptId, pause: Millis, end: Millis): void {
    const row = this.options.row(endpoint)
    if (row === undefined || this.options.clock.now() > end) return this.settle(endpoint, attempt, false)
    this.options.engines.release(row, attempt).then(
      () => this.settle(endpoint, attempt, true),
      (error: EndpointError) => this.retry(endpoint, attempt, pause, end, error),
    )
  }

  private retry(
    endpoint: EndpointName,
    attempt: AttemptId,
    pause: Millis,
    end: Millis,
    error: EndpointError,
  ): void {
    const { logger, clock } = this.options
    logger.debug('request.step', {
      request: attempt.request,
      step: 'release',
      peer: endpoint,
      detail: error.reason,
    })
    clock.after(pause, () => this.tryRelease(endpoint, attempt, Math.min(MAX_RETRY_MS, pause * 2), end))
  }

  private settle(endpoint: EndpointName, attempt: AttemptId, confirmed: boolean): void {
    this.pendingCount -= 1
    this.options.logger.debug('request.released', { request: attempt.request, endpoint, confirmed })
  }
}

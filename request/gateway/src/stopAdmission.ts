import type { ServerResponse } from 'node:http'
import type { Clock } from '@forkstage/clock'
import type { Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { AnswerTimes, type TimedRun } from './answerTimes'
import type { TokenCounts } from './gatewayWire'

/** When a caller that an entry refuses because it stops should retry: other entries take requests at once. */
export const LEAVING_RETRY_MS: Millis = 50
/** Why a request is not sent to an endpoint any more. */
export const OUTLASTS_STOP = 'the answer may not be complete before this entry ends'

/** A request as far as the time of its answer depends on it. */
export interface StoppableRequest {
  route: Route
  tokens: TokenCounts | undefined
  /** When its answer is due at the latest. */
  endsAt: Millis
  response: ServerResponse
}

/** Options of {@link StopAdmission}. */
export interface StopAdmissionOptions {
  /** Whether earlier answers on its connection have to be sent before a response. */
  isBehindAnother: (response: ServerResponse) => boolean
  clock: Clock
}

/** The longest recent time is exceeded by less than this factor. */
const REPEATABLE_FACTOR = 1.5
/** The same for requests that callers cannot repeat once they may have run. */
const ONCE_FACTOR = 2
/** Time from the end of a run until its answer has left this process. */
const SEND_MS: Millis = 100

/** Decides which requests an entry that stops still sends to endpoints: those whose answers leave before it ends. */
export class StopAdmission {
  private readonly times: AnswerTimes
  private beganAt: Millis = Infinity
  private endsAt: Millis = Infinity

  constructor(private readonly options: StopAdmissionOptions) {
    this.times = new AnswerTimes(options.clock)
  }

  /** Begins a stop at whose end all connections are closed. */
  begin(endsAt: Millis): void {
    this.beganAt = this.options.clock.now()
    this.endsAt = endsAt
  }

  /** Returns the check of one request. */
  follow(request: StoppableRequest): StopCheck {
    const { clock, isBehindAnother } = this.options
    return new StopCheck({
      ...request,
      now: () => clock.now(),
      stop: () => ({ beganAt: this.beganAt, endsAt: this.endsAt }),
      isBehindAnother: () => isBehindAnother(request.response),
      beginRun: () => this.times.begin(request.route.name, request.tokens),
      longestMs: () => this.times.longestMs(request.route.name, request.tokens),
    })
  }
}

interface StopCheckOptions extends StoppableRequest {
  now: () => Millis
  stop: () => { beganAt: Millis; endsAt: Millis }
  isBehindAnother: () => boolean
  beginRun: () => TimedRun
  longestMs: () => Millis | undefined
}

/** Tells whether one request may still be sent to an endpoint, and records how long it runs. */
export class StopCheck {
  private run: TimedRun | undefined
  private firstSentAt: Millis = Infinity
  private attemptSentAt: Millis | undefined

  constructor(private readonly options: StopCheckOptions) {}

  /** Begins another attempt, whose run takes its time from its first sending on. Returns whether it is too late. */
  isTooLateToBegin(): boolean {
    this.attemptSentAt = undefined
    return this.isTooLate()
  }

  /** Records that an endpoint gets the request now. */
  recordSent(): void {
    const now = this.options.now()
    this.attemptSentAt ??= now
    if (this.run !== undefined) return
    this.firstSentAt = now
    this.run = this.options.beginRun()
  }

  /** Records the end of the request. */
  end(): void {
    const { headersSent, statusCode } = this.options.response
    this.run?.end(headersSent && statusCode >= 200 && statusCode < 300)
  }

  /**
   * Whether the answer may not be complete when this entry ends. Never for a request that was sent before the stop, or
   * whose caller has a part of the answer, since these cannot be refused as not run.
   */
  isTooLate(): boolean {
    const { now, stop, response, endsAt, isBehindAnother } = this.options
    const { beganAt, endsAt: stopsAt } = stop()
    if (beganAt === Infinity || this.firstSentAt <= beganAt || response.headersSent) return false
    // The earlier answers may take until the end.
    if (isBehindAnother()) return true
    const startsAt = this.attemptSentAt ?? now()
    return Math.min(endsAt, startsAt + this.expectedMs()) + SEND_MS > stopsAt
  }

  private expectedMs(): Millis {
    const { route, longestMs } = this.options
    return (longestMs() ?? Infinity) * (isRepeatable(route) ? REPEATABLE_FACTOR : ONCE_FACTOR)
  }
}

function isRepeatable({ kind, resumable }: Route): boolean {
  return kind === 'safe' || (kind === 'streaming' && resumable)
}

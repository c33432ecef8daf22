import type { Random } from '@forkstage/clock'
import type { EndpointArrival, EndpointSignals } from './checkEndpointSignals'
import { drawRetryAfter, type RetryAfterSignal } from './drawRetryAfter'
import { pause } from './pause'

const MAX_NOTICE_MS = 2_000

/** The signals that one stand-in sends in its answers, and the requests that it receives. */
export class StandInSignals {
  readonly recorded: EndpointSignals = { arrivals: [], backoffs: [], leavingNotices: [] }
  /** Whether answers announce that the stand-in leaves. */
  isLeaving = false
  /** `Retry-After` of the current series of refusals; undefined before the first one. */
  private backoff: RetryAfterSignal | undefined

  /** @param random draws the values of `Retry-After` and the length of notices. */
  constructor(private readonly random: Random) {}

  /** Announces in answers that the stand-in leaves; resolves when heartbeats may announce it too. */
  async announceLeaving(): Promise<void> {
    this.isLeaving = true
    await pause(this.random() * MAX_NOTICE_MS)
  }

  /** Records a request that arrived at an incarnation of the stand-in. */
  recordArrival(arrival: EndpointArrival): void {
    this.recorded.arrivals.push(arrival)
  }

  /** Ends a series of refusals: the next one draws a new `Retry-After`. */
  resetBackoff(): void {
    this.backoff = undefined
  }

  /** Returns the headers of the refusal of a request and records its backoff. */
  refusalHeaders(request: EndpointArrival): Record<string, string> {
    this.backoff ??= drawRetryAfter(this.random)
    const value = this.backoff.value()
    if (this.backoff.forMs > 0) this.recorded.backoffs.push({ ...request, forMs: this.backoff.forMs })
    return value === undefined ? {} : { 'Retry-After': value }
  }

  /** Returns the headers of an answer of a leaving stand-in and records the notice. */
  leavingHeaders(request: EndpointArrival): Record<string, string> {
    this.recorded.leavingNotices.push(request)
    return { 'Server-Leaving': '1' }
  }
}

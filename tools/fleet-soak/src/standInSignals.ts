import type { Random } from '@forkstage/clock'
import type { EndpointArrival, EndpointSignals } from './checkEndpointSignals'
import { drawRetryAfter, type RetryAfterSignal } from './drawRetryAfter'
import { pause } from './pause'

const MAX_NOTICE_MS = 2_000

/** What one stand-in says of itself in its answers, and what it gets. */
export class StandInSignals {
  readonly recorded: EndpointSignals = { arrivals: [], backoffs: [], leavingNotices: [] }
  /** Whether it says already that it leaves. */
  isLeaving = false
  /** What it says of rest for as long as it refuses. */
  private backoff: RetryAfterSignal | undefined

  /** @param random draws what it says. */
  constructor(private readonly random: Random) {}

  /** It says in its answers that it leaves, some time before its heartbeats say so. */
  async announceLeaving(): Promise<void> {
    this.isLeaving = true
    await pause(this.random() * MAX_NOTICE_MS)
  }

  /** A request has arrived at one of its lives. */
  recordArrival(arrival: EndpointArrival): void {
    this.recorded.arrivals.push(arrival)
  }

  /** Its next refusals say something else. */
  resetBackoff(): void {
    this.backoff = undefined
  }

  /** Fields of the refusal of a request. */
  refusalHeaders(request: EndpointArrival): Record<string, string> {
    this.backoff ??= drawRetryAfter(this.random)
    const value = this.backoff.value()
    if (this.backoff.forMs > 0) this.recorded.backoffs.push({ ...request, forMs: this.backoff.forMs })
    return value === undefined ? {} : { 'Retry-After': value }
  }

  /** Fields of any answer to a request of one that leaves. */
  leavingHeaders(request: EndpointArrival): Record<string, string> {
    this.recorded.leavingNotices.push(request)
    return { 'Server-Leaving': '1' }
  }
}

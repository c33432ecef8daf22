import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { RetryAfter } from './readRetryAfter'

/** Options of {@link AvailabilityTracker}. */
export interface AvailabilityTrackerOptions {
  clock: Clock
  /** Draws the jitter after a backoff; without it there is none. */
  random?: Random
  logger: Logger
}

/** Until when, by this machine's clock, an endpoint gets no requests from here, and why. */
export interface Unavailability {
  untilMs: Millis
  reason: string
}

/** A period without requests that an endpoint asked for. */
interface Backoff {
  startedAt: Millis
  untilMs: Millis
  /**
   * Until when no request may be sent: the end of the backoff with jitter, then the end of the wait for each probe
   * request.
   */
  closedUntilMs: Millis
  isEndLogged: boolean
}

/** Reason while an endpoint has asked for no requests. */
export const RETRY_AFTER_REASON = 'the endpoint asked for rest'
/** Reason once an endpoint has announced that it leaves. */
export const LEAVING_REASON = 'the endpoint has said that it leaves'

/** Requests placed or copied to an endpoint before it announced that it leaves may still be sent for this long. */
export const LEAVING_GRACE_MS: Millis = 500

/** Longer backoffs are cut to this; an endpoint that still needs one repeats it in the response to the next request. */
const MAX_BACKOFF_MS: Millis = 600_000
/**
 * Machines with backoffs that end at the same time are spread over this share of the backoff, up to the maximum.
 */
const JITTER_SHARE = 0.1
const MAX_JITTER_MS: Millis = 500
/** After a backoff the next request waits for the response to the previous one, or for this time. */
const PROBE_INTERVAL_MS: Millis = 1_000
/** Smaller extensions of a backoff are not logged: an endpoint repeats its backoff in every refusal. */
const MIN_LOGGED_EXTENSION_MS: Millis = 1_000
const MAX_LOGGED_CHARACTERS = 40

/**
 * Tracks until when each endpoint must get no requests from this machine, according to its own responses. Kept by
 * incarnation. Other machines are not affected; the endpoint may accept requests from them.
 */
export class AvailabilityTracker {
  private readonly backoffs = new Map<InstanceId, Backoff>()
  private readonly leavingTimes = new Map<InstanceId, Millis>()
  /** Endpoints whose Retry-After could not be parsed; each is logged once. */
  private readonly unreadable = new Set<InstanceId>()

  constructor(private readonly options: AvailabilityTrackerOptions) {}

  /** Records the Retry-After of a response that has just arrived. */
  recordRetryAfter(id: InstanceId, retryAfter: RetryAfter, request: string): void {
    if (retryAfter.type === 'rest')
      this.extendBackoff(id, Math.min(retryAfter.forMs, MAX_BACKOFF_MS), request)
    if (retryAfter.type !== 'unreadable' || this.unreadable.has(id)) return
    this.unreadable.add(id)
    const value = retryAfter.value.slice(0, MAX_LOGGED_CHARACTERS)
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'unreadable', request, value })
  }

  /** Records that a response announced that its endpoint leaves. An incarnation cannot take that back. */
  recordLeaving(id: InstanceId, request: string): void {
    if (this.leavingTimes.has(id)) return
    this.leavingTimes.set(id, this.options.clock.now())
    this.options.logger.info('endpoint.leaving', { endpoint: id, request })
  }

  /**
   * Records that an endpoint completed some work. A success during the backoff does not end it: the request was sent
   * before.
   */
  recordSuccess(id: InstanceId): void {
    const known = this.backoffs.get(id)
    if (known === undefined || known.untilMs > this.options.clock.now()) return
    this.logEnd(id, known)
    this.backoffs.delete(id)
  }

  /**
   * Records that a request is sent to an endpoint. After a backoff the next request waits for its response. Returns a
   * function that takes this back for a request that has not left; undefined if there was no backoff.
   */
  recordSent(id: InstanceId): (() => void) | undefined {
    const known = this.backoffs.get(id)
    if (known === undefined) return undefined
    const before = known.closedUntilMs
    const closedUntilMs = this.options.clock.now() + PROBE_INTERVAL_MS
    known.closedUntilMs = closedUntilMs
    return () => {
      // A refusal since then may have extended the backoff.
      if (known.closedUntilMs === closedUntilMs) known.closedUntilMs = before
    }
  }

  /** Returns until when an endpoint must get no requests, and why; undefined if it may get one now. */
  unavailability(id: InstanceId): Unavailability | undefined {
    if (this.leavingTimes.has(id)) return { untilMs: Infinity, reason: LEAVING_REASON }
    const untilMs = this.backoffs.get(id)?.closedUntilMs ?? -Infinity
    return untilMs > this.options.clock.now() ? { untilMs, reason: RETRY_AFTER_REASON } : undefined
  }

  /**
   * Returns the {@link Unavailability} that ends first if all the endpoints are unavailable; undefined if one may get a
   * request now, or if there are none.
   */
  earliestAvailable(ids: InstanceId[]): Unavailability | undefined {
    const bounds = ids.map((id) => this.unavailability(id))
    if (bounds.includes(undefined)) return undefined
    return bounds.reduce(
      (first, one) => (first === undefined || one!.untilMs < first.untilMs ? one : first),
      undefined,
    )
  }

  /**
   * Whether no endpoint is recorded as backing off or leaving. Lets callers skip the search through the endpoints for
   * each request.
   */
  get isEmpty(): boolean {
    return this.backoffs.size === 0 && this.leavingTimes.size === 0
  }

  /** Returns when an endpoint first announced that it leaves; undefined if it has not. */
  leavingSince(id: InstanceId): Millis | undefined {
    return this.leavingTimes.get(id)
  }

  /** The endpoints that must get no requests now. */
  get unavailableIds(): InstanceId[] {
    const ids = new Set([...this.leavingTimes.keys(), ...this.backoffs.keys()])
    return [...ids].filter((id) => this.unavailability(id) !== undefined)
  }

  /** The number of endpoints with a backoff that has not ended. */
  get backoffCount(): number {
    const now = this.options.clock.now()
    return [...this.backoffs.values()].filter(({ untilMs }) => untilMs > now).length
  }

  /** The number of registered endpoints that have announced that they leave. */
  get leavingCount(): number {
    return this.leavingTimes.size
  }

  /** Logs backoffs that have ended and drops incarnations that are no longer registered. Called periodically. */
  sweep(isRegistered: (id: InstanceId) => boolean): void {
    const now = this.options.clock.now()
    for (const [id, backoff] of this.backoffs) {
      if (!isRegistered(id)) this.backoffs.delete(id)
      else if (backoff.untilMs <= now) this.logEnd(id, backoff)
    }
    for (const id of this.leavingTimes.keys()) if (!isRegistered(id)) this.leavingTimes.delete(id)
    for (const id of this.unreadable) if (!isRegistered(id)) this.unreadable.delete(id)
  }

  /** Of overlapping backoffs the one that ends last applies. */
  private extendBackoff(id: InstanceId, forMs: Millis, request: string): void {
    const now = this.options.clock.now()
    const untilMs = now + forMs
    const known = this.backoffs.get(id)
    const knownUntil = known?.untilMs ?? -Infinity
    if (forMs === 0 || untilMs <= knownUntil) return
    const isNew = knownUntil <= now
    const jitterMs = (this.options.random?.() ?? 0) * Math.min(MAX_JITTER_MS, forMs * JITTER_SHARE)
    const startedAt = isNew ? now : known!.startedAt
    this.backoffs.set(id, { startedAt, untilMs, closedUntilMs: untilMs + jitterMs, isEndLogged: false })
    if (!isNew && untilMs - knownUntil < MIN_LOGGED_EXTENSION_MS) return
    const outcome = isNew ? 'asked' : 'longer'
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome, request, forMs: Math.round(forMs) })
  }

  private logEnd(id: InstanceId, backoff: Backoff): void {
    if (backoff.isEndLogged) return
    backoff.isEndLogged = true
    const ageMs = Math.round(this.options.clock.now() - backoff.startedAt)
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'over', ageMs })
  }
}

import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { RetryAfter } from './readRetryAfter'

/** Options of {@link AvailabilityTracker}. */
export interface AvailabilityTrackerOptions {
  clock: Clock
  /** Draws how long after a rest this machine comes back; at once where left out. */
  random?: Random
  logger: Logger
}

/** An endpoint must get nothing from here until a time, by this machine's clock, and why. */
export interface Unavailability {
  untilMs: Millis
  reason: string
}

/** What an endpoint said of rest. */
interface Backoff {
  startedAt: Millis
  untilMs: Millis
  /** Until when it gets nothing but, after its rest, one request at a time that finds out whether it is well. */
  closedUntilMs: Millis
  isEndLogged: boolean
}

/** Why nothing is sent to an endpoint that wants nothing for a while. */
export const RETRY_AFTER_REASON = 'the endpoint asked for rest'
/** Why nothing is sent to an endpoint that has said that it leaves. */
export const LEAVING_REASON = 'the endpoint has said that it leaves'

/** What was placed or copied to an endpoint before it said that it leaves may still go there for so long. */
export const LEAVING_GRACE_MS: Millis = 500

/** No word binds for longer: an endpoint that still means it says so again to the one request that asks. */
const MAX_BACKOFF_MS: Millis = 600_000
/** Machines that were told to come back at one time come back spread over this part of the rest, and no more than this. */
const JITTER_SHARE = 0.1
const MAX_JITTER_MS: Millis = 500
/** After a rest the next request leaves once one has brought an answer, or after this time. */
const PROBE_INTERVAL_MS: Millis = 1_000
/** Ends that differ by less are no news in the log: an endpoint says its rest to each request that it turns away. */
const MIN_LOGGED_EXTENSION_MS: Millis = 1_000
const MAX_LOGGED_CHARACTERS = 40

/**
 * What endpoints have said to this machine in their answers, by the life that said it, and until when each must therefore
 * get nothing from here. Only the machine that was told is bound: another may be welcome there.
 */
export class AvailabilityTracker {
  private readonly backoffs = new Map<InstanceId, Backoff>()
  private readonly leavingTimes = new Map<InstanceId, Millis>()
  /** Endpoints whose time to come back could not be read, so that each leaves one line. */
  private readonly unreadable = new Set<InstanceId>()

  constructor(private readonly options: AvailabilityTrackerOptions) {}

  /** Takes what an answer that has just come says of when to come back. */
  recordRetryAfter(id: InstanceId, retryAfter: RetryAfter, request: string): void {
    if (retryAfter.type === 'rest')
      this.extendBackoff(id, Math.min(retryAfter.forMs, MAX_BACKOFF_MS), request)
    if (retryAfter.type !== 'unreadable' || this.unreadable.has(id)) return
    this.unreadable.add(id)
    const value = retryAfter.value.slice(0, MAX_LOGGED_CHARACTERS)
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'unreadable', request, value })
  }

  /** An answer that has just come says that its endpoint leaves; nothing takes that back in one life. */
  recordLeaving(id: InstanceId, request: string): void {
    if (this.leavingTimes.has(id)) return
    this.leavingTimes.set(id, this.options.clock.now())
    this.options.logger.info('endpoint.leaving', { endpoint: id, request })
  }

  /** An endpoint has done some work for this machine; what it was sent before its rest does not end that. */
  recordSuccess(id: InstanceId): void {
    const known = this.backoffs.get(id)
    if (known === undefined || known.untilMs > this.options.clock.now()) return
    this.logEnd(id, known)
    this.backoffs.delete(id)
  }

  /** A request leaves for an endpoint: after a rest the next one waits for its answer. */
  recordSent(id: InstanceId): void {
    const known = this.backoffs.get(id)
    if (known !== undefined) known.closedUntilMs = this.options.clock.now() + PROBE_INTERVAL_MS
  }

  /** Until when an endpoint must get nothing from here, and why; undefined where it may get a request now. */
  unavailability(id: InstanceId): Unavailability | undefined {
    if (this.leavingTimes.has(id)) return { untilMs: Infinity, reason: LEAVING_REASON }
    const untilMs = this.backoffs.get(id)?.closedUntilMs ?? -Infinity
    return untilMs > this.options.clock.now() ? { untilMs, reason: RETRY_AFTER_REASON } : undefined
  }

  /** Of endpoints that must all get nothing from here, the one that may first; undefined where one may now. */
  earliestAvailable(ids: InstanceId[]): Unavailability | undefined {
    const bounds = ids.map((id) => this.unavailability(id))
    if (bounds.includes(undefined)) return undefined
    return bounds.reduce(
      (first, one) => (first === undefined || one!.untilMs < first.untilMs ? one : first),
      undefined,
    )
  }

  /** Whether no endpoint has said anything that may bind now: asked for each request, before endpoints are looked through. */
  get isEmpty(): boolean {
    return this.backoffs.size === 0 && this.leavingTimes.size === 0
  }

  /** When an endpoint first said here that it leaves; undefined where it has not. */
  leavingSince(id: InstanceId): Millis | undefined {
    return this.leavingTimes.get(id)
  }

  /** Endpoints that must get nothing from here now. */
  get closed(): InstanceId[] {
    const ids = new Set([...this.leavingTimes.keys(), ...this.backoffs.keys()])
    return [...ids].filter((id) => this.unavailability(id) !== undefined)
  }

  /** How many endpoints want nothing from here now. */
  get backoffCount(): number {
    const now = this.options.clock.now()
    return [...this.backoffs.values()].filter(({ untilMs }) => untilMs > now).length
  }

  /** How many registered endpoints have said here that they leave. */
  get leavingCount(): number {
    return this.leavingTimes.size
  }

  /** Forgets lives that are not registered any more. Called again and again. */
  sweep(isRegistered: (id: InstanceId) => boolean): void {
    const now = this.options.clock.now()
    for (const [id, backoff] of this.backoffs) {
      if (!isRegistered(id)) this.backoffs.delete(id)
      else if (backoff.untilMs <= now) this.logEnd(id, backoff)
    }
    for (const id of this.leavingTimes.keys()) if (!isRegistered(id)) this.leavingTimes.delete(id)
    for (const id of this.unreadable) if (!isRegistered(id)) this.unreadable.delete(id)
  }

  /** Of rests that overlap the one that ends last counts. */
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

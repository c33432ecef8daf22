import type { Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import { MIN_OTHER_ENDPOINTS, hasIsolatedTrials } from './hasIsolatedTrials'
import type { TrialAnswer, TrialRequest, TrialEnd } from './trialTypes'

/** Options of {@link TrialScheduler}. */
export interface TrialSchedulerOptions {
  /** A monotonic clock. */
  now: () => Millis
  random: Random
  /** The plain endpoints of a service that accept requests. */
  registered: (service: string) => InstanceId[]
  hasCrashed: (endpoint: InstanceId) => boolean
  /** Whether this machine knows that a content must run in isolation. */
  isSuspect: (content: ContentDigest) => boolean
  /** Called when the set of reserved endpoints changes. */
  onChange: () => void
}

/** An endpoint reserved for isolated trials. */
interface Reservation {
  endpoint: InstanceId
  /** When requests sent there before the reservation have completed. */
  freeAt: Millis
  askedAt: Millis
  running?: { content: ContentDigest; untilMs: Millis }
}

/** A run of a content during which no other run of that content may begin. */
interface Turn {
  request: string
  untilMs: Millis
}

/**
 * Entries learn of a reservation within some milliseconds, and requests sent before it complete within this time: 98 in
 * 100 plain responses take less.
 */
const DRAIN_MS: Millis = 500
/** An entry that has not reported the end of a run by then may have crashed itself. */
const RUN_TIMEOUT_MS: Millis = 2_000
/** A reservation that has not been requested for this time is released. */
const IDLE_RELEASE_MS: Millis = 1_500
/** Within this time a poison request has crashed its endpoint, and the crash is confirmed. */
const TURN_TIMEOUT_MS: Millis = 1_000
const TURN_RETRY_MS: Millis = 50
/** Retry delay while too few endpoints are alive. */
const TOO_FEW_RETRY_MS: Millis = 1_000

/**
 * Runs at the leader. Reserves at most one endpoint for each service, where contents that may crash their endpoints run
 * in isolation, one after the other. Also serializes the runs of a content that may turn out to be one of those.
 */
export class TrialScheduler {
  private readonly reservations = new Map<string, Reservation>()
  private readonly turns = new Map<ContentDigest, Turn>()

  constructor(private readonly options: TrialSchedulerOptions) {}

  /** Reserved endpoints, sorted; nothing else may be sent there. */
  get endpoints(): InstanceId[] {
    return [...this.reservations.values()].map(({ endpoint }) => endpoint).sort()
  }

  /** Returns where a content may run now, or when to ask again. */
  ask({ service, content, turnOf }: TrialRequest): TrialAnswer {
    const now = this.options.now()
    const turn = this.turns.get(content)
    if (turn !== undefined && now < turn.untilMs && turn.request !== turnOf) return later(TURN_RETRY_MS)
    if (turnOf !== undefined) {
      if (this.options.isSuspect(content)) return { type: 'isolate' }
      this.turns.set(content, { request: turnOf, untilMs: now + TURN_TIMEOUT_MS })
      return { type: 'anywhere' }
    }
    const known = this.reservation(service)
    if (known === undefined) return this.reserve(service, now)
    known.askedAt = now
    if (now < known.freeAt) return later(known.freeAt - now)
    if (known.running !== undefined && now < known.running.untilMs)
      return later(known.running.untilMs - now, DRAIN_MS)
    known.running = { content, untilMs: now + RUN_TIMEOUT_MS }
    return { type: 'granted', endpoint: known.endpoint, forMs: RUN_TIMEOUT_MS }
  }

  /** Records that the run of a content has ended. */
  end({ service, content, endpoint, turnOf }: TrialEnd): void {
    if (turnOf !== undefined && this.turns.get(content)?.request === turnOf) this.turns.delete(content)
    const known = this.reservations.get(service)
    if (known === undefined || known.endpoint !== endpoint) return
    if (known.running?.content === content) known.running = undefined
  }

  /**
   * Releases reservations that are idle or whose endpoint has crashed, and drops expired turns. Called periodically.
   */
  sweepExpired(): void {
    const now = this.options.now()
    for (const [content, { untilMs }] of this.turns) if (now >= untilMs) this.turns.delete(content)
    for (const [service, { askedAt, running }] of [...this.reservations]) {
      const isIdle = now - askedAt >= IDLE_RELEASE_MS && (running === undefined || now >= running.untilMs)
      if (isIdle || this.reservation(service) === undefined) this.release(service)
    }
  }

  /** Drops all state once another machine leads. */
  clear(): void {
    this.turns.clear()
    if (this.reservations.size === 0) return
    this.reservations.clear()
    this.options.onChange()
  }

  /** Returns a service's reservation; releases it and returns undefined if its endpoint is gone or has crashed. */
  private reservation(service: string): Reservation | undefined {
    const known = this.reservations.get(service)
    if (known === undefined) return undefined
    if (this.aliveEndpoints(service).includes(known.endpoint)) return known
    this.release(service)
    return undefined
  }

  private reserve(service: string, now: Millis): TrialAnswer {
    if (!hasIsolatedTrials(this.options.registered(service).length)) return { type: 'anywhere' }
    const alive = this.aliveEndpoints(service)
    if (alive.length <= MIN_OTHER_ENDPOINTS) return later(TOO_FEW_RETRY_MS)
    const endpoint = alive[Math.floor(this.options.random() * alive.length)]!
    this.reservations.set(service, { endpoint, freeAt: now + DRAIN_MS, askedAt: now })
    this.options.onChange()
    return later(DRAIN_MS)
  }

  private aliveEndpoints(service: string): InstanceId[] {
    const { registered, hasCrashed } = this.options
    return registered(service).filter((id) => !hasCrashed(id))
  }

  private release(service: string): void {
    this.reservations.delete(service)
    this.options.onChange()
  }
}

function later(ms: Millis, most: Millis = Infinity): TrialAnswer {
  return { type: 'later', retryAfterMs: Math.round(Math.min(ms, most)) }
}

import type { Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import { MIN_OTHER_ENDPOINTS, hasIsolatedTrials } from './hasIsolatedTrials'
import type { TrialAnswer, TrialRequest, TrialEnd } from './trialTypes'

/** Options of {@link TrialScheduler}. */
export interface TrialSchedulerOptions {
  /** A steady clock. */
  now: () => Millis
  random: Random
  /** Plain endpoints of a service that are there to take work, and those of them that have not ended, as far as is known. */
  registered: (service: string) => InstanceId[]
  hasCrashed: (endpoint: InstanceId) => boolean
  /** Whether a content must run isolated, by what this machine knows. */
  isSuspect: (content: ContentDigest) => boolean
  /** Called when other endpoints are reservations free than before. */
  onChange: () => void
}

/** An endpoint that is reservations free of everything else. */
interface Reservation {
  endpoint: InstanceId
  /** From when nothing else should be at work there. */
  freeAt: Millis
  askedAt: Millis
  running?: { content: ContentDigest; untilMs: Millis }
}

/** A run of a content beside which no other run of it may begin. */
interface Turn {
  request: string
  untilMs: Millis
}

/**
 * Entries hear of it within some milliseconds, and what had been sent there before has ended: 98 in 100 plain answers of
 * the deployments played take less.
 */
const DRAIN_MS: Millis = 500
/** An entry that has not told of an end by then may have ended itself. */
const RUN_TIMEOUT_MS: Millis = 2_000
/** Where nobody has asked for so long, the endpoint serves all again. */
const IDLE_RELEASE_MS: Millis = 1_500
/** A poison request has crashed its endpoint by then, and that is confirmed. */
const TURN_TIMEOUT_MS: Millis = 1_000
const TURN_RETRY_MS: Millis = 50
/** While too few endpoints stand. */
const TOO_FEW_RETRY_MS: Millis = 1_000

/**
 * Keeps one endpoint of a service free at a time, at the machine that leads, so that contents that may end their endpoints
 * run alone there, one after the other; and lets contents that may turn out to be such run once at a time.
 */
export class TrialScheduler {
  private readonly reservations = new Map<string, Reservation>()
  private readonly turns = new Map<ContentDigest, Turn>()

  constructor(private readonly options: TrialSchedulerOptions) {}

  /** Endpoints that must get nothing else. */
  get endpoints(): InstanceId[] {
    return [...this.reservations.values()].map(({ endpoint }) => endpoint).sort()
  }

  /** Where a content may run now, or when to ask again. */
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

  /** A content's run has ended. */
  end({ service, content, endpoint, turnOf }: TrialEnd): void {
    if (turnOf !== undefined && this.turns.get(content)?.request === turnOf) this.turns.delete(content)
    const known = this.reservations.get(service)
    if (known === undefined || known.endpoint !== endpoint) return
    if (known.running?.content === content) known.running = undefined
  }

  /** Lets go of endpoints that have ended or that nobody has asked for. Called again and again. */
  sweepExpired(): void {
    const now = this.options.now()
    for (const [content, { untilMs }] of this.turns) if (now >= untilMs) this.turns.delete(content)
    for (const [service, { askedAt, running }] of [...this.reservations]) {
      const isIdle = now - askedAt >= IDLE_RELEASE_MS && (running === undefined || now >= running.untilMs)
      if (isIdle || this.reservation(service) === undefined) this.release(service)
    }
  }

  /** Another machine leads. */
  clear(): void {
    this.turns.clear()
    if (this.reservations.size === 0) return
    this.reservations.clear()
    this.options.onChange()
  }

  /** The endpoint that is reservations free for a service, if it still stands. */
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

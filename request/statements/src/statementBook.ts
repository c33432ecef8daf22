import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { Rest } from './readRest'

/** Options of {@link StatementBook}. */
export interface StatementBookOptions {
  clock: Clock
  /** Draws how long after a rest this machine comes back; at once where left out. */
  random?: Random
  logger: Logger
}

/** An endpoint must get nothing from here until a time, by this machine's clock, and why. */
export interface Bound {
  untilMs: Millis
  reason: string
}

/** What an endpoint said of rest. */
interface Resting {
  saidAt: Millis
  untilMs: Millis
  /** Until when it gets nothing but, after its rest, one request at a time that finds out whether it is well. */
  closedUntilMs: Millis
  isLoggedOver: boolean
}

/** Why nothing is sent to an endpoint that wants nothing for a while. */
export const ASKED_FOR_REST = 'the endpoint asked for rest'
/** Why nothing is sent to an endpoint that has said that it leaves. */
export const SAYS_IT_LEAVES = 'the endpoint has said that it leaves'

/** What was placed or copied to an endpoint before it said that it leaves may still go there for so long. */
export const LEAVING_TAKES_MS: Millis = 500

/** No word binds for longer: an endpoint that still means it says so again to the one request that asks. */
const LONGEST_REST_MS: Millis = 600_000
/** Machines that were told to come back at one time come back spread over this part of the rest, and no more than this. */
const SPREAD_SHARE = 0.1
const MOST_SPREAD_MS: Millis = 500
/** After a rest the next request leaves once one has brought an answer, or after this time. */
const TRY_EVERY_MS: Millis = 1_000
/** Ends that differ by less are no news in the log: an endpoint says its rest to each request that it turns away. */
const NEWS_MS: Millis = 1_000
const SHOWN_CHARACTERS = 40

/**
 * What endpoints have said to this machine in their answers, by the life that said it, and until when each must therefore
 * get nothing from here. Only the machine that was told is bound: another may be welcome there.
 */
export class StatementBook {
  private readonly rests = new Map<InstanceId, Resting>()
  private readonly leavers = new Map<InstanceId, Millis>()
  /** Endpoints whose time to come back could not be read, so that each leaves one line. */
  private readonly unreadable = new Set<InstanceId>()

  constructor(private readonly options: StatementBookOptions) {}

  /** Takes what an answer that has just come says of when to come back. */
  noteRest(id: InstanceId, rest: Rest, request: string): void {
    if (rest.type === 'rest') this.extend(id, Math.min(rest.forMs, LONGEST_REST_MS), request)
    if (rest.type !== 'unreadable' || this.unreadable.has(id)) return
    this.unreadable.add(id)
    const value = rest.value.slice(0, SHOWN_CHARACTERS)
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'unreadable', request, value })
  }

  /** An answer that has just come says that its endpoint leaves; nothing takes that back in one life. */
  noteLeaving(id: InstanceId, request: string): void {
    if (this.leavers.has(id)) return
    this.leavers.set(id, this.options.clock.now())
    this.options.logger.info('endpoint.leaving', { endpoint: id, request })
  }

  /** An endpoint has done some work for this machine; what it was sent before its rest does not end that. */
  noteWell(id: InstanceId): void {
    const known = this.rests.get(id)
    if (known === undefined || known.untilMs > this.options.clock.now()) return
    this.logOver(id, known)
    this.rests.delete(id)
  }

  /** A request leaves for an endpoint: after a rest the next one waits for its answer. */
  noteSent(id: InstanceId): void {
    const known = this.rests.get(id)
    if (known !== undefined) known.closedUntilMs = this.options.clock.now() + TRY_EVERY_MS
  }

  /** Until when an endpoint must get nothing from here, and why; undefined where it may get a request now. */
  notBefore(id: InstanceId): Bound | undefined {
    if (this.leavers.has(id)) return { untilMs: Infinity, reason: SAYS_IT_LEAVES }
    const untilMs = this.rests.get(id)?.closedUntilMs ?? -Infinity
    return untilMs > this.options.clock.now() ? { untilMs, reason: ASKED_FOR_REST } : undefined
  }

  /** Of endpoints that must all get nothing from here, the one that may first; undefined where one may now. */
  firstFree(ids: InstanceId[]): Bound | undefined {
    const bounds = ids.map((id) => this.notBefore(id))
    if (bounds.includes(undefined)) return undefined
    return bounds.reduce(
      (first, one) => (first === undefined || one!.untilMs < first.untilMs ? one : first),
      undefined,
    )
  }

  /** Whether no endpoint has said anything that may bind now: asked for each request, before endpoints are looked through. */
  get isEmpty(): boolean {
    return this.rests.size === 0 && this.leavers.size === 0
  }

  /** When an endpoint first said here that it leaves; undefined where it has not. */
  leavingSince(id: InstanceId): Millis | undefined {
    return this.leavers.get(id)
  }

  /** Endpoints that must get nothing from here now. */
  get closed(): InstanceId[] {
    const ids = new Set([...this.leavers.keys(), ...this.rests.keys()])
    return [...ids].filter((id) => this.notBefore(id) !== undefined)
  }

  /** How many endpoints want nothing from here now. */
  get restingCount(): number {
    const now = this.options.clock.now()
    return [...this.rests.values()].filter(({ untilMs }) => untilMs > now).length
  }

  /** How many registered endpoints have said here that they leave. */
  get leavingCount(): number {
    return this.leavers.size
  }

  /** Forgets lives that are not registered any more. Called again and again. */
  look(isRegistered: (id: InstanceId) => boolean): void {
    const now = this.options.clock.now()
    for (const [id, rest] of this.rests) {
      if (!isRegistered(id)) this.rests.delete(id)
      else if (rest.untilMs <= now) this.logOver(id, rest)
    }
    for (const id of this.leavers.keys()) if (!isRegistered(id)) this.leavers.delete(id)
    for (const id of this.unreadable) if (!isRegistered(id)) this.unreadable.delete(id)
  }

  /** Of rests that overlap the one that ends last counts. */
  private extend(id: InstanceId, forMs: Millis, request: string): void {
    const now = this.options.clock.now()
    const untilMs = now + forMs
    const known = this.rests.get(id)
    const knownUntil = known?.untilMs ?? -Infinity
    if (forMs === 0 || untilMs <= knownUntil) return
    const isNew = knownUntil <= now
    const spreadMs = (this.options.random?.() ?? 0) * Math.min(MOST_SPREAD_MS, forMs * SPREAD_SHARE)
    const saidAt = isNew ? now : known!.saidAt
    this.rests.set(id, { saidAt, untilMs, closedUntilMs: untilMs + spreadMs, isLoggedOver: false })
    if (!isNew && untilMs - knownUntil < NEWS_MS) return
    const outcome = isNew ? 'asked' : 'longer'
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome, request, forMs: Math.round(forMs) })
  }

  private logOver(id: InstanceId, rest: Resting): void {
    if (rest.isLoggedOver) return
    rest.isLoggedOver = true
    const ageMs = Math.round(this.options.clock.now() - rest.saidAt)
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'over', ageMs })
  }
}

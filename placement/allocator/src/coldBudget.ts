import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk, StepGrant } from './allocatorTypes'

/** What is known of cold endpoints and their limits. */
export interface ColdPolicy {
  /** How much longer than `at` an endpoint is cold; 0 or less where it is warm then or not known. */
  leftMs: (id: InstanceId, at: Millis) => Millis
  /** Requests that a cold endpoint of a service may get in any second from all entries together. */
  perSecond: (service: string) => number
}

/** What the decision line says of cold engines. */
export interface ColdOutlook {
  /** Cold engines, and those of them that get nothing now since their budget is used. */
  engines: number
  withheld: number
}

/** Where no endpoint is ever cold. */
const NEVER_COLD: ColdPolicy = { leftMs: () => 0, perSecond: () => Infinity }

/** The bound holds for any span of this length. */
const WINDOW_MS: Millis = 1_000
/** A step that leaves at once does so within this time of the decision: the way to the entry, and a moment's work there. */
export const LEAVES_AT_ONCE_MS: Millis = 250
/** A decode step that follows a reading does so within this time; readings take 100 to 500 ms with their queue. */
export const LEAVES_AFTER_READING_MS: Millis = 1_000
/** The leader's part of what a cold engine may get: beside it stand two new leaders' and that of entries without one. */
const LEADER_SHARE = 0.5
/** The part of a leader that does not know yet what its predecessor let go. */
const NEW_LEADER_SHARE = 0.2
/** What a predecessor allowed has left after its longest time to leave and one window, and the way. */
const NEW_FOR_MS: Millis = LEAVES_AFTER_READING_MS + WINDOW_MS + LEAVES_AT_ONCE_MS

/** The engines of a place. */
export interface Engines {
  prefill?: RegisteredEndpoint
  decode: RegisteredEndpoint
}

/** A step that leaves at some moment of a span. */
interface Step {
  from: Millis
  until: Millis
}

/**
 * Counts at the machine that places what cold engines get from all entries. A step counts in each second into which
 * it could fall, so that no second holds more than the leader's part, whenever within its span a step leaves.
 */
export class ColdBudget {
  private readonly steps = new Map<InstanceId, Step[]>()
  private leadsSince: Millis | undefined
  /** What was worked out for one time: asked for each waiting request. */
  private worked: { at: Millis; answers: Map<string, boolean> } = { at: -Infinity, answers: new Map() }

  constructor(private readonly policy: ColdPolicy = NEVER_COLD) {}

  /** Notes that this machine places. Called again and again; the first call counts. */
  noteLeads(now: Millis): void {
    this.leadsSince ??= now
  }

  isCold(id: InstanceId, now: Millis): boolean {
    return this.policy.leftMs(id, now) > 0
  }

  /** Whether an engine may read a prompt now. */
  mayRead(engine: RegisteredEndpoint, now: Millis): boolean {
    return this.mayTake(engine, LEAVES_AT_ONCE_MS, now)
  }

  /** Whether an engine may decode a request that is placed now. */
  mayDecode(engine: RegisteredEndpoint, { isPrefilled }: PlaceAsk, now: Millis): boolean {
    return this.mayTake(engine, isPrefilled ? LEAVES_AT_ONCE_MS : LEAVES_AFTER_READING_MS, now)
  }

  /** Counts the steps of a place that go to cold engines; undefined where there are none. */
  grant({ prefill, decode }: Engines, waitedMs: Millis, now: Millis): StepGrant | undefined {
    const decodesInMs = prefill === undefined ? LEAVES_AT_ONCE_MS : LEAVES_AFTER_READING_MS
    const isReaderCold = prefill !== undefined && this.take(prefill, LEAVES_AT_ONCE_MS, now)
    const isDecoderCold = this.take(decode, decodesInMs, now)
    if (!isReaderCold && !isDecoderCold) return undefined
    return {
      waitedMs,
      prefillMs: isReaderCold ? LEAVES_AT_ONCE_MS : undefined,
      decodeMs: isDecoderCold ? decodesInMs : undefined,
    }
  }

  /** Until one of some decode engines may take a request, where all are cold and none may now; else undefined. */
  waitFor(engines: RegisteredEndpoint[], ask: PlaceAsk, now: Millis): Millis | undefined {
    if (engines.length === 0 || engines.some((one) => this.mayDecode(one, ask, now))) return undefined
    return Math.min(...engines.map((one) => this.freeIn(one, now)))
  }

  /** Whether a step that leaves within a time from now may go to an engine; one that is warm may always. */
  private mayTake({ id, service }: RegisteredEndpoint, withinMs: Millis, now: Millis): boolean {
    if (!this.isCold(id, now)) return true
    if (this.worked.at !== now) this.worked = { at: now, answers: new Map() }
    const key = `${id} ${withinMs}`
    const known = this.worked.answers.get(key)
    if (known !== undefined) return known
    const answer = this.mostInSecond(id, { from: now, until: now + withinMs }) < this.part(service, now)
    this.worked.answers.set(key, answer)
    return answer
  }

  /** Counts a step; says whether its engine is cold, so that it needs to leave within the time. */
  private take({ id }: RegisteredEndpoint, withinMs: Millis, now: Millis): boolean {
    if (!this.isCold(id, now)) return false
    this.worked.at = -Infinity
    this.steps.set(id, [...this.stepsOf(id, now), { from: now, until: now + withinMs }])
    return true
  }

  /** Until an engine that may take nothing now may take something, in milliseconds. */
  private freeIn({ id, service }: RegisteredEndpoint, now: Millis): Millis {
    const warmIn = this.policy.leftMs(id, now)
    if (this.part(service, now) < 1) return warmIn
    const ends = this.stepsOf(id, now).map(({ until }) => until + WINDOW_MS - now)
    return Math.max(0, Math.min(warmIn, ...ends))
  }

  outlook(engines: RegisteredEndpoint[], now: Millis): ColdOutlook | undefined {
    const cold = engines.filter(({ id }) => this.isCold(id, now))
    if (cold.length === 0) return undefined
    const withheld = cold.filter((one) => !this.mayTake(one, LEAVES_AT_ONCE_MS, now)).length
    return { engines: cold.length, withheld }
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.steps.keys()) if (!ids.has(id)) this.steps.delete(id)
  }

  /** Requests that this machine may let an engine of a service have in any second. */
  private part(service: string, now: Millis): number {
    const isNew = this.leadsSince === undefined || now - this.leadsSince < NEW_FOR_MS
    return Math.floor(this.policy.perSecond(service) * (isNew ? NEW_LEADER_SHARE : LEADER_SHARE))
  }

  private stepsOf(id: InstanceId, now: Millis): Step[] {
    return (this.steps.get(id) ?? []).filter(({ until }) => until + WINDOW_MS > now)
  }

  /** The most steps that may fall into one second together with a new one. */
  private mostInSecond(id: InstanceId, step: Step): number {
    // A step falls into the seconds that begin in this span.
    const spans = this.stepsOf(id, step.from).map(({ from, until }) => ({ from: from - WINDOW_MS, until }))
    const first = step.from - WINDOW_MS
    const starts = [first, ...spans.map(({ from }) => from).filter((at) => at > first && at <= step.until)]
    const counts = starts.map((at) => spans.filter(({ from, until }) => from <= at && at <= until).length)
    return Math.max(...counts)
  }
}

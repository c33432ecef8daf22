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
export interface ColdSummary {
  /** Cold engines, and those of them that get nothing now since their budget is used. */
  engines: number
  withheld: number
}

/** Where no endpoint is ever cold. */
const NEVER_COLD: ColdPolicy = { leftMs: () => 0, perSecond: () => Infinity }

/** The bound holds for any span of this length. */
const WINDOW_MS: Millis = 1_000
/** A step that leaves at once does so within this time of the decision: the way to the entry, and a moment's work there. */
export const SEND_WITHIN_MS: Millis = 250
/** A decode step that follows a reading does so within this time; readings take 100 to 500 ms with their queue. */
export const SEND_AFTER_PREFILL_MS: Millis = 1_000
/** The leader's part of what a cold engine may get: beside it stand two new leaders' and that of entries without one. */
const LEADER_SHARE = 0.5
/** The part of a leader that does not know yet what its predecessor let go. */
const NEW_LEADER_SHARE = 0.2
/** What a predecessor allowed has left after its longest time to leave and one window, and the way. */
const NEW_LEADER_MS: Millis = SEND_AFTER_PREFILL_MS + WINDOW_MS + SEND_WITHIN_MS

/** The engines of a place. */
export interface PlacedEngines {
  prefill?: RegisteredEndpoint
  decode: RegisteredEndpoint
}

/** A step that leaves at some moment of a span. */
interface StepWindow {
  from: Millis
  until: Millis
}

/**
 * Counts at the machine that places what cold engines get from all entries. A step counts in each second into which
 * it could fall, so that no second holds more than the leader's part, whenever within its span a step leaves.
 */
export class ColdBudget {
  private readonly steps = new Map<InstanceId, StepWindow[]>()
  private leadingSince: Millis | undefined
  /** What was worked out for one time: asked for each waiting request. */
  private cachedAnswers: { at: Millis; answers: Map<string, boolean> } = { at: -Infinity, answers: new Map() }

  constructor(private readonly policy: ColdPolicy = NEVER_COLD) {}

  /** Notes that this machine places. Called again and again; the first call counts. */
  markLeading(now: Millis): void {
    this.leadingSince ??= now
  }

  isCold(id: InstanceId, now: Millis): boolean {
    return this.policy.leftMs(id, now) > 0
  }

  /** Whether an engine may read a prompt now. */
  mayRead(engine: RegisteredEndpoint, now: Millis): boolean {
    return this.isWithinBudget(engine, SEND_WITHIN_MS, now)
  }

  /** Whether an engine may decode a request that is placed now. */
  mayDecode(engine: RegisteredEndpoint, { isPrefilled }: PlaceAsk, now: Millis): boolean {
    return this.isWithinBudget(engine, isPrefilled ? SEND_WITHIN_MS : SEND_AFTER_PREFILL_MS, now)
  }

  /** Counts the steps of a place that go to cold engines; undefined where there are none. */
  grant({ prefill, decode }: PlacedEngines, waitedMs: Millis, now: Millis): StepGrant | undefined {
    const decodesInMs = prefill === undefined ? SEND_WITHIN_MS : SEND_AFTER_PREFILL_MS
    const isPrefillCold = prefill !== undefined && this.countStep(prefill, SEND_WITHIN_MS, now)
    const isDecodeCold = this.countStep(decode, decodesInMs, now)
    if (!isPrefillCold && !isDecodeCold) return undefined
    return {
      waitedMs,
      prefillMs: isPrefillCold ? SEND_WITHIN_MS : undefined,
      decodeMs: isDecodeCold ? decodesInMs : undefined,
    }
  }

  /** Until one of some decode engines may take a request, where all are cold and none may now; else undefined. */
  waitMs(engines: RegisteredEndpoint[], ask: PlaceAsk, now: Millis): Millis | undefined {
    if (engines.length === 0 || engines.some((one) => this.mayDecode(one, ask, now))) return undefined
    return Math.min(...engines.map((one) => this.availableInMs(one, now)))
  }

  /** Whether a step that leaves within a time from now may go to an engine; one that is warm may always. */
  private isWithinBudget({ id, service }: RegisteredEndpoint, withinMs: Millis, now: Millis): boolean {
    if (!this.isCold(id, now)) return true
    if (this.cachedAnswers.at !== now) this.cachedAnswers = { at: now, answers: new Map() }
    const key = `${id} ${withinMs}`
    const known = this.cachedAnswers.answers.get(key)
    if (known !== undefined) return known
    const answer =
      this.mostInSecond(id, { from: now, until: now + withinMs }) < this.leaderLimit(service, now)
    this.cachedAnswers.answers.set(key, answer)
    return answer
  }

  /** Counts a step; says whether its engine is cold, so that it needs to leave within the time. */
  private countStep({ id }: RegisteredEndpoint, withinMs: Millis, now: Millis): boolean {
    if (!this.isCold(id, now)) return false
    this.cachedAnswers.at = -Infinity
    this.steps.set(id, [...this.stepsOf(id, now), { from: now, until: now + withinMs }])
    return true
  }

  /** Until an engine that may take nothing now may take something, in milliseconds. */
  private availableInMs({ id, service }: RegisteredEndpoint, now: Millis): Millis {
    const warmInMs = this.policy.leftMs(id, now)
    if (this.leaderLimit(service, now) < 1) return warmInMs
    const ends = this.stepsOf(id, now).map(({ until }) => until + WINDOW_MS - now)
    return Math.max(0, Math.min(warmInMs, ...ends))
  }

  summarize(engines: RegisteredEndpoint[], now: Millis): ColdSummary | undefined {
    const cold = engines.filter(({ id }) => this.isCold(id, now))
    if (cold.length === 0) return undefined
    const withheld = cold.filter((one) => !this.isWithinBudget(one, SEND_WITHIN_MS, now)).length
    return { engines: cold.length, withheld }
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.steps.keys()) if (!ids.has(id)) this.steps.delete(id)
  }

  /** Requests that this machine may let an engine of a service have in any second. */
  private leaderLimit(service: string, now: Millis): number {
    const isNew = this.leadingSince === undefined || now - this.leadingSince < NEW_LEADER_MS
    return Math.floor(this.policy.perSecond(service) * (isNew ? NEW_LEADER_SHARE : LEADER_SHARE))
  }

  private stepsOf(id: InstanceId, now: Millis): StepWindow[] {
    return (this.steps.get(id) ?? []).filter(({ until }) => until + WINDOW_MS > now)
  }

  /** The most steps that may fall into one second together with a new one. */
  private mostInSecond(id: InstanceId, step: StepWindow): number {
    // A step falls into the seconds that begin in this span.
    const spans = this.stepsOf(id, step.from).map(({ from, until }) => ({ from: from - WINDOW_MS, until }))
    const first = step.from - WINDOW_MS
    const starts = [first, ...spans.map(({ from }) => from).filter((at) => at > first && at <= step.until)]
    const counts = starts.map((at) => spans.filter(({ from, until }) => from <= at && at <= until).length)
    return Math.max(...counts)
  }
}

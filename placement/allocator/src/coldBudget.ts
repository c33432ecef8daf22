import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk, StepGrant } from './allocatorTypes'

/** What is known of cold endpoints and their limits. */
export interface ColdPolicy {
  /**
   * Returns how long after `at` an endpoint is still cold, in milliseconds; 0 or less if it is warm then or unknown.
   */
  leftMs: (id: InstanceId, at: Millis) => Millis
  /** Requests that a cold endpoint of a service may get in any second from all entries together. */
  perSecond: (service: string) => number
}

/** Cold engines as logged with a decision. */
export interface ColdSummary {
  /** Numbers of cold engines, and of those that get no work now because their budget is used up. */
  engines: number
  withheld: number
}

/** Policy without cold endpoints. */
const NEVER_COLD: ColdPolicy = { leftMs: () => 0, perSecond: () => Infinity }

/** The limit holds in any window of this length. */
const WINDOW_MS: Millis = 1_000
/**
 * A step without a prefill before it is sent within this time of the decision: the network delay and some processing
 * at the entry.
 */
export const SEND_WITHIN_MS: Millis = 250
/** A decode step after a prefill is sent within this time; prefills take 100 to 500 ms including their queue. */
export const SEND_AFTER_PREFILL_MS: Millis = 1_000
/** The leader's share of a cold engine's limit; the rest is for two new leaders and for entries without a leader. */
const LEADER_SHARE = 0.5
/** Share of a new leader, which does not know yet what its predecessor has granted. */
const NEW_LEADER_SHARE = 0.2
/** A predecessor's grants no longer count after the longest time to send, one window and the network delay. */
const NEW_LEADER_MS: Millis = SEND_AFTER_PREFILL_MS + WINDOW_MS + SEND_WITHIN_MS

/** The engines of a placement. */
export interface PlacedEngines {
  prefill?: RegisteredEndpoint
  decode: RegisteredEndpoint
}

/** A time span within which a step is sent. */
interface StepWindow {
  from: Millis
  until: Millis
}

/**
 * Counts at the leader what cold engines get from all entries. A step counts in each second into which it could fall,
 * so that no second exceeds the leader's limit, whenever within its span a step is sent.
 */
export class ColdBudget {
  private readonly steps = new Map<InstanceId, StepWindow[]>()
  private leadingSince: Millis | undefined
  /** Answers computed for one time, reused for each waiting request. */
  private cachedAnswers: { at: Millis; answers: Map<string, boolean> } = { at: -Infinity, answers: new Map() }

  constructor(private readonly policy: ColdPolicy = NEVER_COLD) {}

  /** Records since when this machine has been placing requests. Called periodically; the first call counts. */
  markLeading(now: Millis): void {
    this.leadingSince ??= now
  }

  isCold(id: InstanceId, now: Millis): boolean {
    return this.policy.leftMs(id, now) > 0
  }

  /** Whether an engine may get a prompt to prefill now. */
  mayPrefill(engine: RegisteredEndpoint, now: Millis): boolean {
    return this.isWithinBudget(engine, SEND_WITHIN_MS, now)
  }

  /** Whether an engine may decode a request that is placed now. */
  mayDecode(engine: RegisteredEndpoint, { isPrefilled }: PlaceAsk, now: Millis): boolean {
    return this.isWithinBudget(engine, isPrefilled ? SEND_WITHIN_MS : SEND_AFTER_PREFILL_MS, now)
  }

  /** Counts the steps of a placement that go to cold engines; returns undefined if none is cold. */
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

  /**
   * Returns the time until one of some decode engines may take a request, in milliseconds; undefined unless all are
   * cold and at their limit.
   */
  waitMs(engines: RegisteredEndpoint[], ask: PlaceAsk, now: Millis): Millis | undefined {
    if (engines.length === 0 || engines.some((one) => this.mayDecode(one, ask, now))) return undefined
    return Math.min(...engines.map((one) => this.availableInMs(one, now)))
  }

  /** Whether a step that is sent within a time from now may go to an engine; always true for a warm engine. */
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

  /** Counts a step; returns whether its engine is cold, so that the step must be sent in time. */
  private countStep({ id }: RegisteredEndpoint, withinMs: Millis, now: Millis): boolean {
    if (!this.isCold(id, now)) return false
    this.cachedAnswers.at = -Infinity
    this.steps.set(id, [...this.stepsOf(id, now), { from: now, until: now + withinMs }])
    return true
  }

  /** Returns the time until an engine at its limit may take a step again, in milliseconds. */
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
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.steps.keys()) if (!ids.has(id)) this.steps.delete(id)
  }

  /** Returns how many requests this machine may send to a cold engine of a service in any second. */
  private leaderLimit(service: string, now: Millis): number {
    const isNew = this.leadingSince === undefined || now - this.leadingSince < NEW_LEADER_MS
    return Math.floor(this.policy.perSecond(service) * (isNew ? NEW_LEADER_SHARE : LEADER_SHARE))
  }

  private stepsOf(id: InstanceId, now: Millis): StepWindow[] {
    return (this.steps.get(id) ?? []).filter(({ until }) => until + WINDOW_MS > now)
  }

  /** Returns the largest number of counted steps that may fall into one second together with a new one. */
  private mostInSecond(id: InstanceId, step: StepWindow): number {
    // A step falls into the seconds that begin in this span.
    const spans = this.stepsOf(id, step.from).map(({ from, until }) => ({ from: from - WINDOW_MS, until }))
    const first = step.from - WINDOW_MS
    const starts = [first, ...spans.map(({ from }) => from).filter((at) => at > first && at <= step.until)]
    const counts = starts.map((at) => spans.filter(({ from, until }) => from <= at && at <= until).length)
    return Math.max(...counts)
  }
}

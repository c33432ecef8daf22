import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { Placed, PlaceAsk, StepGrant } from './allocatorTypes'
import {
  ColdBudget,
  SEND_AFTER_PREFILL_MS,
  SEND_WITHIN_MS,
  type ColdSummary,
  type ColdPolicy,
  type PlacedEngines,
} from './coldBudget'

/** Rate limits that engines name; requests count against them where they are placed. */
export interface LimitPolicy {
  isLimited: (id: InstanceId) => boolean
  /** Whether an engine may get a request now. */
  canSend: (id: InstanceId) => boolean
  /** Counts a request; returns whether its engine names a rate limit. */
  spend: (id: InstanceId) => boolean
}

/** Policy without rate limits. */
const NO_LIMITS: LimitPolicy = { isLimited: () => false, canSend: () => true, spend: () => false }

/** Enforces at the leader the limits of cold engines and of engines that name a rate limit. */
export class EngineBudgets {
  private readonly cold: ColdBudget

  constructor(
    cold?: ColdPolicy,
    private readonly limits: LimitPolicy = NO_LIMITS,
  ) {
    this.cold = new ColdBudget(cold)
  }

  /** Records since when this machine has been placing requests. Called periodically; the first call counts. */
  markLeading(now: Millis): void {
    this.cold.markLeading(now)
  }

  isCold(id: InstanceId, now: Millis): boolean {
    return this.cold.isCold(id, now)
  }

  /** Whether an engine is neither cold nor rate-limited: optional work goes only to such engines. */
  isUnlimited(id: InstanceId, now: Millis): boolean {
    return !this.isCold(id, now) && !this.limits.isLimited(id)
  }

  /** Whether an engine may get a prompt to prefill now. */
  mayPrefill(engine: RegisteredEndpoint, now: Millis): boolean {
    return this.limits.canSend(engine.id) && this.cold.mayPrefill(engine, now)
  }

  /** Whether an engine may decode a request that is placed now. */
  mayDecode(engine: RegisteredEndpoint, ask: PlaceAsk, now: Millis): boolean {
    return this.limits.canSend(engine.id) && this.cold.mayDecode(engine, ask, now)
  }

  /** Counts the steps of a placement; returns which of them were counted, and how soon they must be sent. */
  grant(engines: PlacedEngines, waitedMs: Millis, now: Millis): Pick<Placed, 'cold' | 'limited'> {
    return { cold: this.cold.grant(engines, waitedMs, now), limited: this.spend(engines, waitedMs) }
  }

  /**
   * Returns the time until one of some decode engines may take a request, in milliseconds; undefined unless all are
   * cold and at their limit.
   */
  waitMs(engines: RegisteredEndpoint[], ask: PlaceAsk, now: Millis): Millis | undefined {
    return this.cold.waitMs(engines, ask, now)
  }

  summarize(engines: RegisteredEndpoint[], now: Millis): ColdSummary | undefined {
    return this.cold.summarize(engines, now)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    this.cold.sweep(ids)
  }

  private spend({ prefill, decode }: PlacedEngines, waitedMs: Millis): StepGrant | undefined {
    const isPrefillLimited = prefill !== undefined && this.limits.spend(prefill.id)
    const isDecodeLimited = this.limits.spend(decode.id)
    if (!isPrefillLimited && !isDecodeLimited) return undefined
    const decodesInMs = prefill === undefined ? SEND_WITHIN_MS : SEND_AFTER_PREFILL_MS
    return {
      waitedMs,
      prefillMs: isPrefillLimited ? SEND_WITHIN_MS : undefined,
      decodeMs: isDecodeLimited ? decodesInMs : undefined,
    }
  }
}

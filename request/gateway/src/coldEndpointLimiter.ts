import type { Placed } from '@forkstage/allocator'
import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import { StaticShares } from './staticShares'
import type { SendStep } from './sendCounter'
import { StepGrants, type RecordedGrant } from './stepGrants'
import type { Refund } from './unsentCounts'

/** Options of {@link ColdEndpointLimiter}. */
export interface ColdEndpointLimiterOptions {
  clock: Clock
  random: Random
  /** Returns the milliseconds until an endpoint is warm; 0 where it is warm or unknown. */
  leftMs: (id: InstanceId) => Millis
  /** Whether an endpoint has reported itself how long it is cold; false where it is only assumed to be cold. */
  hasReportedCold: (id: InstanceId) => boolean
  /** Returns how many requests all entries together may send to a cold endpoint of a service in any second. */
  perSecond: (service: string) => number
  /** Returns the number of entries, as control machines count them now; 0 where none has reported it. */
  entries: () => number
}

/** Reason for which a send to a cold endpoint is withheld. */
export const COLD_LIMIT_REASON = 'cold endpoints get no more now'

/** The limit applies to any span of this length. */
const WINDOW_MS: Millis = 1_000
/** Share of a cold engine's limit for sends that the leader has not counted; the rest is for those that it has. */
const WITHOUT_LEADER_SHARE = 0.1
/**
 * How long a placement on an engine that the leader takes for warm stays valid: as long as its steps may take to be
 * sent.
 */
const WARM_GRANT_MS: Millis = 5_000

/**
 * Limits what this entry sends to cold endpoints: to the steps that the leader has counted for placements, and a static
 * share. All entries together stay within the limit whatever each of them does, without a call per request.
 */
export class ColdEndpointLimiter {
  private readonly grants: StepGrants
  private readonly staticShares: StaticShares

  constructor(private readonly options: ColdEndpointLimiterOptions) {
    const { clock, random, entries } = options
    this.grants = new StepGrants(clock)
    this.staticShares = new StaticShares({ clock, random, entries, windowMs: WINDOW_MS })
  }

  isCold(id: InstanceId): boolean {
    return this.options.leftMs(id) > 0
  }

  /**
   * Adds the steps that the leader counted for a placement.
   * @param askedAt when the leader was asked, by this entry's clock.
   */
  addGrants(request: string, { prefill, decode, cold }: Placed, askedAt: Millis): void {
    const decidedAt = askedAt + (cold?.waitedMs ?? 0)
    const addGrant = (step: SendStep, endpoint: InstanceId, withinMs: Millis | undefined) => {
      if (!this.isCold(endpoint) && withinMs === undefined) return
      const untilMs = decidedAt + (withinMs ?? WARM_GRANT_MS)
      this.grants.add(request, step, {
        endpoint,
        requestedAt: askedAt,
        untilMs,
        isUnrestricted: withinMs === undefined,
      })
    }
    if (prefill !== undefined) addGrant('prefill', prefill, cold?.prefillMs)
    addGrant('decode', decode, cold?.decodeMs)
  }

  /**
   * Returns why a step of a request must not be sent now. Returns undefined where it may, and counts it. To be called
   * last, right before the send.
   * @param onCounted called with a function that takes the count back.
   */
  checkAndCount(
    to: RegisteredEndpoint,
    request: string,
    step: SendStep,
    onCounted: (refund: Refund) => void = () => undefined,
  ): string | undefined {
    if (!this.isCold(to.id)) return undefined
    const grant = this.useGrant(to, request, step)
    if (grant !== undefined) {
      onCounted(() => this.grants.add(request, step, grant))
      return undefined
    }
    if (!this.canSendWithoutLeader(to)) return COLD_LIMIT_REASON
    onCounted(this.staticShares.recordSend(to.id))
    return undefined
  }

  /** Returns the warm ones of the candidates; where all are cold, those that this entry's static share allows. */
  eligible<One extends PooledEndpoint>(candidates: One[]): One[] {
    const warm = candidates.filter(({ endpoint }) => !this.isCold(endpoint.id))
    return warm.length > 0 ? warm : candidates.filter(({ endpoint }) => this.canSendWithoutLeader(endpoint))
  }

  /**
   * Returns the milliseconds until this entry may send to one of the candidates; undefined where one of them is warm or
   * there are none.
   */
  availableInMs(candidates: PooledEndpoint[]): Millis | undefined {
    if (candidates.length === 0 || candidates.some(({ endpoint }) => !this.isCold(endpoint.id)))
      return undefined
    return Math.min(...candidates.map(({ endpoint }) => this.endpointAvailableInMs(endpoint)))
  }

  /** Updates the number of entries and forgets endpoints that are warm. To be called periodically. */
  sweep(): void {
    this.staticShares.sweep((id) => this.isCold(id))
  }

  private useGrant({ id }: RegisteredEndpoint, request: string, step: SendStep): RecordedGrant | undefined {
    const counted = this.grants.use(request, step, id)
    return counted?.isUnrestricted === true && this.options.hasReportedCold(id) ? undefined : counted
  }

  /** Whether this entry's static share allows a request now. */
  private canSendWithoutLeader(endpoint: RegisteredEndpoint): boolean {
    return this.staticShares.canSend(endpoint.id, this.staticLimitOf(endpoint))
  }

  /**
   * Returns how many requests all entries together may send to an endpoint in any second beside those that the leader
   * counts.
   */
  private staticLimitOf({ service, stage }: RegisteredEndpoint): number {
    return this.options.perSecond(service) * (stage === undefined ? 1 : WITHOUT_LEADER_SHARE)
  }

  private endpointAvailableInMs(endpoint: RegisteredEndpoint): Millis {
    const warmIn = this.options.leftMs(endpoint.id)
    return Math.min(
      warmIn,
      this.staticShares.availableInMs(endpoint.id, this.staticLimitOf(endpoint)) ?? warmIn,
    )
  }
}

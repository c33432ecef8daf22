import type { Placed } from '@forkstage/allocator'
import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import { leaderlessShare, type PermitClient, type LimitTolerance, type RateTable } from '@forkstage/limits'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import { PermittedSends } from './permittedSends'
import { StaticShares } from './staticShares'
import type { SendStep } from './sendCounter'
import { StepGrants } from './stepGrants'
import type { Refund } from './unsentCounts'

/** Options of {@link EndpointRateLimiter}. */
export interface EndpointRateLimiterOptions {
  clock: Clock
  random: Random
  /** The rates that endpoints advertise. */
  rates: RateTable
  /** The permits that this entry has from the leader. */
  permits: PermitClient
  tolerance: LimitTolerance
  /** Returns the number of entries, as control machines count them now; 0 where none has reported it. */
  entries: () => number
}

/** Reason for which a send to an endpoint that advertises a rate is withheld. */
export const RATE_LIMIT_REASON = 'endpoints take no more now'

/**
 * Limits what this entry sends to endpoints that advertise the rate that they accept from all machines together: to the
 * steps that the leader has counted for placements, the leader's permits and, without the leader, a static share. If
 * each entry applied the whole rate by itself, an endpoint would get it once from every entry.
 */
export class EndpointRateLimiter {
  private readonly grants: StepGrants
  private readonly staticShares: StaticShares
  private readonly permittedSends: PermittedSends

  constructor(private readonly options: EndpointRateLimiterOptions) {
    const { clock, random, entries, tolerance } = options
    this.grants = new StepGrants(clock)
    this.staticShares = new StaticShares({ clock, random, entries, windowMs: tolerance.windowMs })
    this.permittedSends = new PermittedSends(tolerance.windowMs)
  }

  isLimited(id: InstanceId): boolean {
    return this.options.rates.rateOf(id) !== undefined
  }

  /**
   * Records the demand of a request that could go to any of the candidates, so that permits are requested for those
   * that advertise rates.
   */
  requestPermits(candidates: PooledEndpoint[]): void {
    for (const { endpoint } of candidates)
      if (this.isLimited(endpoint.id)) this.options.permits.recordDemand(endpoint.id)
  }

  /**
   * Adds the steps that the leader counted for a placement.
   * @param askedAt when the leader was asked, by this entry's clock.
   */
  addGrants(request: string, { prefill, decode, limited }: Placed, askedAt: Millis): void {
    if (limited === undefined) return
    const decidedAt = askedAt + limited.waitedMs
    const addGrant = (step: SendStep, endpoint: InstanceId, withinMs: Millis) =>
      this.grants.add(request, step, {
        endpoint,
        requestedAt: askedAt,
        untilMs: decidedAt + withinMs,
        isUnrestricted: false,
      })
    if (prefill !== undefined && limited.prefillMs !== undefined)
      addGrant('prefill', prefill, limited.prefillMs)
    if (limited.decodeMs !== undefined) addGrant('decode', decode, limited.decodeMs)
  }

  /**
   * Returns why a step of a request must not be sent now. Returns undefined where it may, and counts it. To be called
   * right before the send.
   * @param onCounted called with functions that take the count back.
   */
  checkAndCount(
    { id }: RegisteredEndpoint,
    request: string,
    step: SendStep,
    onCounted: (refund: Refund) => void = () => undefined,
  ): string | undefined {
    const perSecond = this.options.rates.rateOf(id)
    if (perSecond === undefined) return undefined
    const refund = this.useGrant(id, request, step) ?? this.options.permits.usePermit(id)
    const isCounted = refund !== undefined
    if (!isCounted && !this.canSendWithoutLeader(id)) return RATE_LIMIT_REASON
    onCounted(this.permittedSends.record(id, this.options.clock.now(), isCounted ? perSecond : undefined))
    onCounted(refund ?? this.staticShares.recordSend(id))
    return undefined
  }

  /** Returns the candidates that may get a request now. */
  eligible<One extends PooledEndpoint>(candidates: One[]): One[] {
    return candidates.filter(({ endpoint: { id } }) => !this.isLimited(id) || this.canSend(id))
  }

  /** Whether there are candidates and none of them may get a request now: all advertise rates and are at their limits. */
  isExhausted(candidates: PooledEndpoint[]): boolean {
    return candidates.length > 0 && this.eligible(candidates).length === 0
  }

  /** Whether there are candidates and all of them advertise a rate of 0, so that waiting is pointless. */
  haveZeroRates(candidates: PooledEndpoint[]): boolean {
    return (
      candidates.length > 0 &&
      candidates.every(({ endpoint }) => this.options.rates.rateOf(endpoint.id) === 0)
    )
  }

  /**
   * Updates the number of entries and forgets endpoints that no longer advertise a rate or are not registered. To be
   * called periodically.
   */
  sweep(isRegistered: (id: InstanceId) => boolean): void {
    this.options.rates.sweep(isRegistered)
    const { clock, permits } = this.options
    const isLimited = (id: InstanceId) => this.isLimited(id)
    this.staticShares.sweep(isLimited)
    this.permittedSends.sweep(permits.leaderContactAt, clock.now(), isLimited)
  }

  /** Consumes the grant of a step. Returns a function that gives it back; undefined if there is none. */
  private useGrant(id: InstanceId, request: string, step: SendStep): Refund | undefined {
    const grant = this.grants.use(request, step, id)
    return grant && (() => this.grants.add(request, step, grant))
  }

  private canSend(id: InstanceId): boolean {
    return this.options.permits.hasPermit(id) || this.canSendWithoutLeader(id)
  }

  /**
   * Whether a request may be sent without a permit. Never while the leader is reachable, since a static share would
   * come on top of its permits. Without the leader an entry continues at the pace of its last permits; one that had
   * none yet has a small static share.
   */
  private canSendWithoutLeader(id: InstanceId): boolean {
    const { permits, rates, clock, tolerance } = this.options
    const perSecond = rates.rateOf(id) ?? 0
    if (permits.isLeaderReachable()) return false
    if (this.permittedSends.remaining(id, permits.leaderContactAt, perSecond, clock.now()) > 0) return true
    return this.staticShares.canSend(id, leaderlessShare(perSecond, tolerance))
  }
}

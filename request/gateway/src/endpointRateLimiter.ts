import type { Placed } from '@forkstage/allocator'
import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import { leaderlessShare, type PermitClient, type LimitTolerance, type RateTable } from '@forkstage/limits'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import { PermittedSends } from './permittedSends'
import { StaticShares } from './staticShares'
import type { SendStep } from './sendCounter'
import { StepGrants } from './stepGrants'

/** Options of {@link EndpointRateLimiter}. */
export interface EndpointRateLimiterOptions {
  clock: Clock
  random: Random
  /** The rates that endpoints name. */
  rates: RateTable
  /** The leader's permits. */
  permits: PermitClient
  tolerance: LimitTolerance
  /** How many entries there are, as control machines count them now; 0 where none has said. */
  entries: () => number
}

/** Why nothing may leave for an endpoint that names a rate. */
export const RATE_LIMIT_REASON = 'endpoints take no more now'

/**
 * What this entry may send to endpoints that name the rate that they take from all machines: what the leader has counted
 * for a place, the leader's permits, and, without a leader, a static share. Each entry keeping to the whole rate by itself
 * would let through as many times the rate as there are entries.
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

  /** A request could go to one of these: permits are asked for where they name rates. */
  requestPermits(candidates: PooledEndpoint[]): void {
    for (const { endpoint } of candidates)
      if (this.isLimited(endpoint.id)) this.options.permits.recordDemand(endpoint.id)
  }

  /** Takes what the leader counted for a place. `askedAt` is when it was asked, by this entry's clock. */
  addGrants(request: string, { prefill, decode, limited }: Placed, askedAt: Millis): void {
    if (limited === undefined) return
    const decidedAt = askedAt + limited.waitedMs
    const note = (step: SendStep, endpoint: InstanceId, withinMs: Millis) =>
      this.grants.add(request, step, {
        endpoint,
        requestedAt: askedAt,
        untilMs: decidedAt + withinMs,
        isUnrestricted: false,
      })
    if (prefill !== undefined && limited.prefillMs !== undefined) note('prefill', prefill, limited.prefillMs)
    if (limited.decodeMs !== undefined) note('decode', decode, limited.decodeMs)
  }

  /** Why a step of a request must not leave now; where it may, it counts. To be asked right before it leaves. */
  checkAndCount({ id }: RegisteredEndpoint, request: string, step: SendStep): string | undefined {
    const perSecond = this.options.rates.rateOf(id)
    if (perSecond === undefined) return undefined
    const isCounted = this.grants.use(request, step, id) !== undefined || this.options.permits.usePermit(id)
    if (!isCounted && !this.canSendWithoutLeader(id)) return RATE_LIMIT_REASON
    this.permittedSends.record(id, this.options.clock.now(), isCounted ? perSecond : undefined)
    if (!isCounted) this.staticShares.recordSend(id)
    return undefined
  }

  /** Of some endpoints those that may get a request now. */
  eligible<One extends PooledEndpoint>(candidates: One[]): One[] {
    return candidates.filter(({ endpoint: { id } }) => !this.isLimited(id) || this.canSend(id))
  }

  /** Whether all of some endpoints name rates, and none may get a request now. */
  isExhausted(candidates: PooledEndpoint[]): boolean {
    return candidates.length > 0 && this.eligible(candidates).length === 0
  }

  /** Whether none of some endpoints takes any request, so that waiting is in vain. */
  haveZeroRates(candidates: PooledEndpoint[]): boolean {
    return (
      candidates.length > 0 &&
      candidates.every(({ endpoint }) => this.options.rates.rateOf(endpoint.id) === 0)
    )
  }

  /** Looks how many entries there are, and forgets endpoints that name no rate any more or are gone. Called again and again. */
  sweep(isRegistered: (id: InstanceId) => boolean): void {
    this.options.rates.sweep(isRegistered)
    const { clock, permits } = this.options
    const isLimited = (id: InstanceId) => this.isLimited(id)
    this.staticShares.sweep(isLimited)
    this.permittedSends.sweep(permits.leaderContactAt, clock.now(), isLimited)
  }

  private canSend(id: InstanceId): boolean {
    return this.options.permits.hasPermit(id) || this.canSendWithoutLeader(id)
  }

  /**
   * Beside the leader's permits an entry's own share would come on top of them. Without a leader it goes on as it did with
   * one; one that had nothing from it yet has a small share.
   */
  private canSendWithoutLeader(id: InstanceId): boolean {
    const { permits, rates, clock, tolerance } = this.options
    const perSecond = rates.rateOf(id) ?? 0
    if (permits.isLeaderReachable()) return false
    if (this.permittedSends.remaining(id, permits.leaderContactAt, perSecond, clock.now()) > 0) return true
    return this.staticShares.canSend(id, leaderlessShare(perSecond, tolerance))
  }
}

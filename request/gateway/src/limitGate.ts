import type { Placed } from '@forkstage/allocator'
import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import { leaderlessShare, type PermitClient, type LimitTolerance, type RateTable } from '@forkstage/limits'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import { LedPace } from './ledPace'
import { OwnShares } from './ownShares'
import type { SendStep } from './sendCounter'
import { StepGrants } from './stepGrants'

/** Options of {@link LimitGate}. */
export interface LimitGateOptions {
  clock: Clock
  random: Random
  /** The rates that endpoints name. */
  book: RateTable
  /** The leader's permits. */
  keeper: PermitClient
  tolerance: LimitTolerance
  /** How many entries there are, as control machines count them now; 0 where none has said. */
  entries: () => number
}

/** Why nothing may leave for an endpoint that names a rate. */
export const LIMIT_REASON = 'endpoints take no more now'

/**
 * What this entry may send to endpoints that name the rate that they take from all machines: what the leader has counted
 * for a place, the leader's permits, and, without a leader, a static share. Each entry keeping to the whole rate by itself
 * would let through as many times the rate as there are entries.
 */
export class LimitGate {
  private readonly grants: StepGrants
  private readonly own: OwnShares
  private readonly pace: LedPace

  constructor(private readonly options: LimitGateOptions) {
    const { clock, random, entries, tolerance } = options
    this.grants = new StepGrants(clock)
    this.own = new OwnShares({ clock, random, entries, windowMs: tolerance.windowMs })
    this.pace = new LedPace(tolerance.windowMs)
  }

  isLimited(id: InstanceId): boolean {
    return this.options.book.rateOf(id) !== undefined
  }

  /** A request could go to one of these: permits are asked for where they name rates. */
  want(candidates: PooledEndpoint[]): void {
    for (const { endpoint } of candidates)
      if (this.isLimited(endpoint.id)) this.options.keeper.recordDemand(endpoint.id)
  }

  /** Takes what the leader counted for a place. `askedAt` is when it was asked, by this entry's clock. */
  take(request: string, { prefill, decode, limited }: Placed, askedAt: Millis): void {
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
  whyNot({ id }: RegisteredEndpoint, request: string, step: SendStep): string | undefined {
    const perSecond = this.options.book.rateOf(id)
    if (perSecond === undefined) return undefined
    const isCounted = this.grants.use(request, step, id) !== undefined || this.options.keeper.usePermit(id)
    if (!isCounted && !this.mayTakeAlone(id)) return LIMIT_REASON
    this.pace.note(id, this.options.clock.now(), isCounted ? perSecond : undefined)
    if (!isCounted) this.own.note(id)
    return undefined
  }

  /** Of some endpoints those that may get a request now. */
  usable<One extends PooledEndpoint>(candidates: One[]): One[] {
    return candidates.filter(({ endpoint: { id } }) => !this.isLimited(id) || this.mayTake(id))
  }

  /** Whether all of some endpoints name rates, and none may get a request now. */
  isUsedUp(candidates: PooledEndpoint[]): boolean {
    return candidates.length > 0 && this.usable(candidates).length === 0
  }

  /** Whether none of some endpoints takes any request, so that waiting is in vain. */
  takesNone(candidates: PooledEndpoint[]): boolean {
    return (
      candidates.length > 0 && candidates.every(({ endpoint }) => this.options.book.rateOf(endpoint.id) === 0)
    )
  }

  /** Looks how many entries there are, and forgets endpoints that name no rate any more or are gone. Called again and again. */
  look(isRegistered: (id: InstanceId) => boolean): void {
    this.options.book.sweep(isRegistered)
    const { clock, keeper } = this.options
    const isLimited = (id: InstanceId) => this.isLimited(id)
    this.own.look(isLimited)
    this.pace.look(keeper.leaderContactAt, clock.now(), isLimited)
  }

  private mayTake(id: InstanceId): boolean {
    return this.options.keeper.hasPermit(id) || this.mayTakeAlone(id)
  }

  /**
   * Beside the leader's permits an entry's own share would come on top of them. Without a leader it goes on as it did with
   * one; one that had nothing from it yet has a small share.
   */
  private mayTakeAlone(id: InstanceId): boolean {
    const { keeper, book, clock, tolerance } = this.options
    const perSecond = book.rateOf(id) ?? 0
    if (keeper.isLeaderReachable()) return false
    if (this.pace.left(id, keeper.leaderContactAt, perSecond, clock.now()) > 0) return true
    return this.own.mayTake(id, leaderlessShare(perSecond, tolerance))
  }
}

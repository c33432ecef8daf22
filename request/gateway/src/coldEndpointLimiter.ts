import type { Placed } from '@forkstage/allocator'
import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import { StaticShares } from './staticShares'
import type { SendStep } from './sendCounter'
import { StepGrants } from './stepGrants'

/** Options of {@link ColdEndpointLimiter}. */
export interface ColdEndpointLimiterOptions {
  clock: Clock
  random: Random
  /** How much longer an endpoint is cold; 0 where it is warm or not known. */
  leftMs: (id: InstanceId) => Millis
  /** Whether an endpoint has said so, or is only taken for cold as long as it has not. */
  hasReportedCold: (id: InstanceId) => boolean
  /** Requests that a cold endpoint of a service may get in any second from all entries together. */
  perSecond: (service: string) => number
  /** How many entries there are, as control machines count them now; 0 where none has said. */
  entries: () => number
}

/** Why nothing may leave for a cold endpoint. */
export const COLD_LIMIT_REASON = 'cold endpoints get no more now'

/** The bound holds for any span of this length. */
const WINDOW_MS: Millis = 1_000
/** Entries without a leader's word share this part of what a cold engine may get; whoever leads has the rest. */
const WITHOUT_LEADER_SHARE = 0.1
/** The leader's word that an engine is warm holds for a request as long as its steps may take to leave. */
const WARM_GRANT_MS: Millis = 5_000

/**
 * What this entry may send to cold endpoints: what the leader has counted for a place, and its own share. All entries
 * together stay within the bound whatever each does, without a call for a request.
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

  /** Takes what the leader counted for a place. `askedAt` is when it was asked, by this entry's clock. */
  addGrants(request: string, { prefill, decode, cold }: Placed, askedAt: Millis): void {
    const decidedAt = askedAt + (cold?.waitedMs ?? 0)
    const note = (step: SendStep, endpoint: InstanceId, withinMs: Millis | undefined) => {
      if (!this.isCold(endpoint) && withinMs === undefined) return
      const untilMs = decidedAt + (withinMs ?? WARM_GRANT_MS)
      this.grants.add(request, step, {
        endpoint,
        requestedAt: askedAt,
        untilMs,
        isUnrestricted: withinMs === undefined,
      })
    }
    if (prefill !== undefined) note('prefill', prefill, cold?.prefillMs)
    note('decode', decode, cold?.decodeMs)
  }

  /** Why a step of a request must not leave now; where it may, it counts. To be asked last, right before it leaves. */
  checkAndCount(to: RegisteredEndpoint, request: string, step: SendStep): string | undefined {
    if (!this.isCold(to.id)) return undefined
    if (this.useGrant(to, request, step)) return undefined
    if (!this.canSendWithoutLeader(to)) return COLD_LIMIT_REASON
    this.staticShares.recordSend(to.id)
    return undefined
  }

  /** Of some endpoints those to choose among: warm ones where there are any, else cold ones that this entry may use. */
  eligible<One extends PooledEndpoint>(candidates: One[]): One[] {
    const warm = candidates.filter(({ endpoint }) => !this.isCold(endpoint.id))
    return warm.length > 0 ? warm : candidates.filter(({ endpoint }) => this.canSendWithoutLeader(endpoint))
  }

  /** Until this entry may use one of some endpoints that are all cold, in milliseconds; undefined where one is warm. */
  availableInMs(candidates: PooledEndpoint[]): Millis | undefined {
    if (candidates.length === 0 || candidates.some(({ endpoint }) => !this.isCold(endpoint.id)))
      return undefined
    return Math.min(...candidates.map(({ endpoint }) => this.endpointAvailableInMs(endpoint)))
  }

  /** Looks how many entries there are, and forgets endpoints that are warm. Called again and again. */
  sweep(): void {
    this.staticShares.sweep((id) => this.isCold(id))
  }

  private useGrant({ id }: RegisteredEndpoint, request: string, step: SendStep): boolean {
    const counted = this.grants.use(request, step, id)
    return counted !== undefined && !(counted.isUnrestricted && this.options.hasReportedCold(id))
  }

  /** Whether this entry's own share has room for a request now. */
  private canSendWithoutLeader(endpoint: RegisteredEndpoint): boolean {
    return this.staticShares.canSend(endpoint.id, this.staticLimitOf(endpoint))
  }

  /** Requests that all entries may send by themselves to an endpoint in any second. */
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

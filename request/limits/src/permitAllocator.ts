import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { EndpointReport, LimitAnswer, LimitGrant, LimitReport } from './limitTypes'
import type { RateTable, AdvertisedRate } from './rateTable'
import { TokenBucket } from './tokenBucket'

/** Options of {@link PermitAllocator}. */
export interface PermitAllocatorOptions {
  clock: Clock
  /** The rates known to this machine; reports are merged into it. */
  rates: RateTable
  /**
   * The term in which this machine leads. A new term starts with empty buckets, because the previous leader may have
   * granted everything.
   */
  term: () => number
}

/**
 * Divides advertised rates between entries. Runs at the leader. A request counts when it is permitted, so that the loss
 * of an entry or a message cannot lead to more requests.
 */
export class PermitAllocator {
  private term = -1
  private buckets = new Map<InstanceId, TokenBucket>()

  constructor(private readonly options: PermitAllocatorOptions) {}

  /** Merges the rates that an entry reports. Returns the permits granted to it. */
  allocate({ endpoints }: LimitReport): LimitAnswer {
    const { rates } = this.options
    const reports = Object.entries(endpoints)
    for (const [id, { word }] of reports) rates.merge(id, word)
    const grants = reports.flatMap(([id, report]) => {
      const word = rates.advertisedRateOf(id)
      return word === undefined ? [] : [[id, this.grant(id, report, word)] as const]
    })
    return { grants: Object.fromEntries(grants) }
  }

  /** Whether an endpoint advertises a rate. */
  isLimited(id: InstanceId): boolean {
    return this.options.rates.rateOf(id) !== undefined
  }

  /** Whether a request placed by this machine may be sent to an endpoint now. */
  canSend(id: InstanceId): boolean {
    const perSecond = this.options.rates.rateOf(id)
    return perSecond === undefined || this.bucketOf(id).available(perSecond, this.options.clock.now()) >= 1
  }

  /** Counts a request placed by this machine. Returns whether its endpoint advertises a rate. */
  spend(id: InstanceId): boolean {
    if (!this.isLimited(id)) return false
    this.bucketOf(id).take(1)
    return true
  }

  /** Drops endpoints that no longer advertise a rate or are not registered. Called periodically. */
  sweep(isRegistered: (id: InstanceId) => boolean): void {
    this.options.rates.sweep(isRegistered)
    for (const id of this.buckets.keys()) if (!this.isLimited(id)) this.buckets.delete(id)
  }

  private grant(id: InstanceId, { wanted, returned }: EndpointReport, word: AdvertisedRate): LimitGrant {
    const perSecond = this.options.rates.rateOf(id)
    if (perSecond === undefined) return { word, permits: 0 }
    const bucket = this.bucketOf(id)
    bucket.take(-returned)
    const permits = Math.max(0, Math.min(wanted, bucket.available(perSecond, this.now())))
    bucket.take(permits)
    return { word, permits }
  }

  private bucketOf(id: InstanceId): TokenBucket {
    this.resetOnNewTerm()
    const known = this.buckets.get(id)
    if (known !== undefined) return known
    const bucket = new TokenBucket(this.now())
    this.buckets.set(id, bucket)
    return bucket
  }

  private resetOnNewTerm(): void {
    const term = this.options.term()
    if (term === this.term) return
    this.term = term
    this.buckets = new Map()
  }

  private now(): Millis {
    return this.options.clock.now()
  }
}

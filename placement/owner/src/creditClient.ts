import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { EndpointTracker } from '@forkstage/load'
import type { OwnerMap } from '@forkstage/owners'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address, BoxId, EndpointName, Millis } from '@forkstage/types'
import type { CreditAnswer, CreditRequest, PackedCredit, PackedDemand } from './ownerTypes'
import { unpackReport } from './reportCodec'

/** Options of {@link CreditClient}. */
export interface CreditClientOptions {
  box: BoxId
  owners: OwnerMap
  tracker: EndpointTracker
  peers: PeerCaller
  clock: Clock
  /** How often shares are renewed while this box has work. */
  renewEvery: Millis
  /** How often shares are renewed while this box has no work; shorter than the lease of a share. */
  renewIdleEvery: Millis
  /** How many requests wait for an endpoint's pool. */
  waitingFor: (endpoint: EndpointName) => number
  /** Called when new shares have arrived. */
  onUpdate: () => void
}

const RENEWAL_DEADLINE_MS = 1_000
const MIN_RENEWAL_INTERVAL_MS = 20

/** Renews this box's shares of the endpoints that it uses, with one call to each owner for all its endpoints. */
export class CreditClient {
  private readonly epochs = new Map<EndpointName, [number, number]>()
  private readonly cacheSeqs = new Map<EndpointName, number>()
  private cancel: CancelTimer = () => undefined
  private renewedAt: Millis = -Infinity

  constructor(private readonly options: CreditClientOptions) {}

  start(): void {
    this.cancel = every(this.options.clock, this.options.renewEvery, () => this.renewIfDue())
  }

  stop(): void {
    this.cancel()
  }

  /** Renews all shares now, unless that was done a moment ago. For a request that finds no share left. */
  renewSoon(): void {
    const { clock } = this.options
    if (clock.now() - this.renewedAt >= MIN_RENEWAL_INTERVAL_MS) this.renew()
  }

  private renewIfDue(): void {
    const { clock, renewIdleEvery, tracker } = this.options
    const idleFor = clock.now() - this.renewedAt
    if (tracker.hasWork || tracker.lacksShares || idleFor >= renewIdleEvery) this.renew()
  }

  /** Renews all shares now. */
  renew(): void {
    this.renewedAt = this.options.clock.now()
    for (const [address, endpoints] of this.endpointsByOwner()) void this.renewAt(address, endpoints)
  }

  private endpointsByOwner(): Map<Address, EndpointName[]> {
    const { tracker, owners } = this.options
    const byOwner = new Map<Address, EndpointName[]>()
    for (const { endpoint, state } of tracker.rows) {
      if (state === 'out') continue
      const owner = owners.ownerOf(endpoint)?.owner
      if (owner !== undefined) byOwner.set(owner.address, [...(byOwner.get(owner.address) ?? []), endpoint])
    }
    return byOwner
  }

  private async renewAt(address: Address, endpoints: EndpointName[]): Promise<void> {
    const { box, tracker, peers, waitingFor, onUpdate } = this.options
    const demands = endpoints.map((endpoint): PackedDemand => {
      const cacheAfter = this.cacheSeqs.get(endpoint) ?? 0
      return [
        endpoint,
        tracker.inFlight(endpoint),
        waitingFor(endpoint),
        cacheAfter,
        tracker.prefillTokens(endpoint),
      ]
    })
    const request: CreditRequest = { box, endpoints: demands }
    const options = { deadline: RENEWAL_DEADLINE_MS, step: 'renew credits' }
    try {
      const answer = await peers.call<CreditAnswer>(address, 'owner.credits', request, options)
      endpoints.forEach((endpoint, position) =>
        this.applyCredit(endpoint, answer, answer.credits[position] ?? null),
      )
      onUpdate()
    } catch {
      // The owner is gone or has changed: the shares expire, and the next renewal goes to the new owner.
    }
  }

  private applyCredit(endpoint: EndpointName, answer: CreditAnswer, credit: PackedCredit | null): void {
    const known = this.epochs.get(endpoint) ?? [0, 0]
    const { epoch, leaseMs } = answer
    const isOld = epoch[0] < known[0] || (epoch[0] === known[0] && epoch[1] < known[1])
    if (isOld || credit === null) return
    const [share, promptTokensPerSecond, cacheSeq, report, othersPrefillTokens, cacheEvents = []] = credit
    this.epochs.set(endpoint, epoch)
    this.cacheSeqs.set(endpoint, cacheSeq)
    this.options.tracker.applyUpdate(endpoint, {
      report: report === null ? undefined : unpackReport(report),
      share,
      leaseMs,
      promptTokensPerSecond: promptTokensPerSecond ?? Infinity,
      othersPrefillTokens,
      cacheEvents,
    })
  }
}

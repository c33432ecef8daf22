import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { EndpointBook } from '@forkstage/load'
import type { OwnerMap } from '@forkstage/owners'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address, BoxId, EndpointName, Millis } from '@forkstage/types'
import type { CreditAnswer, CreditQuestion, PackedCredit, PackedDemand } from './ownerTypes'
import { unpackReport } from './reportCodec'

/** Options of {@link CreditClient}. */
export interface CreditClientOptions {
  box: BoxId
  owners: OwnerMap
  book: EndpointBook
  peers: PeerCaller
  clock: Clock
  /** How often shares are renewed while this box has work. */
  renewEvery: Millis
  /** How often while it has none; shorter than the lease of a share. */
  renewIdleEvery: Millis
  /** How many requests wait for an endpoint's pool. */
  waitingFor: (endpoint: EndpointName) => number
  /** Called when new shares have come. */
  onNews: () => void
}

const DEADLINE_MS = 1_000
const SOONEST_RENEWAL_MS = 20

/** Renews this box's shares of the endpoints it uses: one call an owner, for all its endpoints. */
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

  /** Asks every owner at once, but not again and again: for when a request finds no share left. */
  renewSoon(): void {
    const { clock } = this.options
    if (clock.now() - this.renewedAt >= SOONEST_RENEWAL_MS) this.renew()
  }

  private renewIfDue(): void {
    const { clock, renewIdleEvery, book } = this.options
    const idleFor = clock.now() - this.renewedAt
    if (book.hasWork || book.lacksShares || idleFor >= renewIdleEvery) this.renew()
  }

  /** Asks every owner now. */
  renew(): void {
    this.renewedAt = this.options.clock.now()
    for (const [address, endpoints] of this.endpointsByOwner()) void this.ask(address, endpoints)
  }

  private endpointsByOwner(): Map<Address, EndpointName[]> {
    const { book, owners } = this.options
    const byOwner = new Map<Address, EndpointName[]>()
    for (const { endpoint, state } of book.rows) {
      if (state === 'out') continue
      const owner = owners.ownerOf(endpoint)?.owner
      if (owner !== undefined) byOwner.set(owner.address, [...(byOwner.get(owner.address) ?? []), endpoint])
    }
    return byOwner
  }

  private async ask(address: Address, endpoints: EndpointName[]): Promise<void> {
    const { box, book, peers, waitingFor, onNews } = this.options
    const demands = endpoints.map((endpoint): PackedDemand => {
      const cacheAfter = this.cacheSeqs.get(endpoint) ?? 0
      return [
        endpoint,
        book.inFlight(endpoint),
        waitingFor(endpoint),
        cacheAfter,
        book.prefillTokens(endpoint),
      ]
    })
    const question: CreditQuestion = { box, endpoints: demands }
    const options = { deadline: DEADLINE_MS, step: 'renew credits' }
    try {
      const answer = await peers.call<CreditAnswer>(address, 'owner.credits', question, options)
      endpoints.forEach((endpoint, position) => this.take(endpoint, answer, answer.credits[position] ?? null))
      onNews()
    } catch {
      // The owner is gone or has changed: the shares run out, and the next renewal asks whoever owns it then.
    }
  }

  private take(endpoint: EndpointName, answer: CreditAnswer, credit: PackedCredit | null): void {
    const known = this.epochs.get(endpoint) ?? [0, 0]
    const { epoch, leaseMs } = answer
    const isOld = epoch[0] < known[0] || (epoch[0] === known[0] && epoch[1] < known[1])
    if (isOld || credit === null) return
    const [share, promptTokensPerSecond, cacheSeq, report, othersPrefillTokens, cacheEvents = []] = credit
    this.epochs.set(endpoint, epoch)
    this.cacheSeqs.set(endpoint, cacheSeq)
    this.options.book.noteNews(endpoint, {
      report: report === null ? undefined : unpackReport(report),
      share,
      leaseMs,
      promptTokensPerSecond: promptTokensPerSecond ?? Infinity,
      othersPrefillTokens,
      cacheEvents,
    })
  }
}

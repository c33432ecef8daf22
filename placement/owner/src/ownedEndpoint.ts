import type { Clock } from '@forkstage/clock'
import type { CacheEvent, EngineReport } from '@forkstage/engine-client'
import { shareFor, type Demand, type Grant } from '@forkstage/load'
import type { BoxId, EndpointRow, Millis } from '@forkstage/types'
import type { PackedCredit } from './ownerTypes'
import { packReport, type PackedReport } from './reportCodec'

/** How long a share is leased. */
export const CREDIT_LEASE_MS = 2_500
/** Cache events kept for boxes that request them; boxes also know the blocks that they send themselves. */
const MAX_CACHE_EVENTS = 1_024
/** The most cache events in a single answer. */
const EVENTS_PER_ANSWER = 128

/** A box's demand, with the prompt tokens that it has sent and that are not prefilled yet. */
export interface BoxDemand extends Demand {
  prefillTokens: number
}

/** The owner's state of one endpoint: its report, the boxes' demands and the leased shares. Not persisted. */
export class OwnedEndpoint {
  report?: EngineReport
  private reportAt: Millis = 0
  private readonly demands = new Map<BoxId, BoxDemand & { at: Millis }>()
  private readonly grants = new Map<BoxId, Grant>()
  private events: CacheEvent[] = []

  constructor(
    public row: EndpointRow,
    private readonly clock: Clock,
  ) {}

  get cacheSeq(): number {
    return this.events.at(-1)?.seq ?? 0
  }

  setReport(report: EngineReport): void {
    this.report = report
    this.reportAt = this.clock.now()
  }

  addEvents(events: CacheEvent[]): void {
    this.events = [...this.events, ...events].slice(-MAX_CACHE_EVENTS)
  }

  /** Leases a share to a box by its demand. @param cacheAfter the last cache event that the box has. */
  grant(box: BoxId, demand: BoxDemand, cacheAfter: number): PackedCredit {
    const now = this.clock.now()
    this.recordDemand(box, demand, now)
    const share = shareFor(box, this.row.maxInFlight, this.demands, this.grants, now)
    this.grants.set(box, { share, until: now + CREDIT_LEASE_MS })
    const events = this.events.filter((event) => event.seq > cacheAfter).slice(0, EVENTS_PER_ANSWER)
    const cacheSeq = events.at(-1)?.seq ?? Math.max(cacheAfter, this.cacheSeq)
    const others = this.prefillTokensOfOthers(box)
    const credit: PackedCredit = [share, this.promptRate(share), cacheSeq, this.agedReport(now), others]
    if (events.length > 0) credit.push(events)
    return credit
  }

  /** Fresher than the engine's own report, since boxes send their prompt tokens at every renewal. */
  private prefillTokensOfOthers(box: BoxId): number {
    let tokens = 0
    for (const [other, demand] of this.demands) if (other !== box) tokens += demand.prefillTokens
    return tokens
  }

  private recordDemand(box: BoxId, demand: BoxDemand, now: Millis): void {
    this.demands.set(box, { ...demand, at: now })
    for (const [other, known] of this.demands) {
      if (now - known.at > CREDIT_LEASE_MS * 2) this.demands.delete(other)
    }
  }

  /** The box's part of the limit on prompt tokens a second, in proportion to its share; null without a limit. */
  private promptRate(share: number): number | null {
    const { promptTokensPerSecond, maxInFlight } = this.row
    return promptTokensPerSecond === 0 ? null : (promptTokensPerSecond * share) / Math.max(1, maxInFlight)
  }

  private agedReport(now: Millis): PackedReport | null {
    if (this.report === undefined) return null
    return packReport({ ...this.report, ageMs: this.report.ageMs + (now - this.reportAt) })
  }
}

import type { Clock, Random } from '@forkstage/clock'
import type { CacheEvent, EngineReport } from '@forkstage/engine-client'
import type { Logger } from '@forkstage/logger'
import type { ClosedReason, EndpointView, LinkView, PlacementView } from '@forkstage/place'
import { AvailabilityTracker, type RetryAfter } from '@forkstage/statements'
import type { EndpointName, EndpointRow, Millis, RequestId, Table } from '@forkstage/types'
import { Ejection, type EjectionChange } from './ejection'
import { PrefixIndex } from './prefixIndex'
import { BLOCK_TOKENS } from './promptBlocks'
import { ShareCounter } from './shareCounter'

/** Work that this box has sent to an endpoint and that has not ended. */
export interface SentWork {
  at: Millis
  promptTokens: number
  /** Tokens still to be prefilled there; 0 for decode work. */
  prefillTokens: number
  /** KV memory that the work takes there, in tokens. */
  kvTokens: number
}

/** An owner's update on an endpoint, with this box's share of the endpoint's limits. */
export interface EndpointUpdate {
  /** Absent while the owner has no report. */
  report?: EngineReport
  share: number
  leaseMs: Millis
  /** Prompt tokens a second for this box; Infinity without a limit. */
  promptTokensPerSecond: number
  /** Prompt tokens that other boxes have sent there and that are not prefilled yet. */
  othersPrefillTokens: number
  cacheEvents: CacheEvent[]
}

interface Entry {
  row: EndpointRow
  report?: EngineReport
  reportTakenAt: Millis
  share: number
  shareUntil: Millis
  othersPrefillTokens: number
  promptRate: number
  promptBudget: number
  promptBudgetAt: Millis
  sent: Map<RequestId, SentWork>
  prefixes: PrefixIndex
  ejection: Ejection
}

/** Options of {@link EndpointTracker}. */
export interface EndpointTrackerOptions {
  clock: Clock
  random: Random
  logger: Logger
}

/** The speed that is assumed for an engine before its first report. */
const ASSUMED_TOKENS_PER_SECOND = 10_000
const ASSUMED_STEP_MS = 20
/** Bytes that a link of 1 Mbit/s carries in a millisecond. */
const BYTES_PER_MS_PER_MEGABIT = 125
/** A prompt budget accumulates over at most this time. */
const PROMPT_BUDGET_SECONDS = 1

/** Tracks the endpoints that this box uses: their reports, its shares, its work in flight and their failures. */
export class EndpointTracker {
  private readonly entries = new Map<EndpointName, Entry>()
  private readonly shares = new ShareCounter()
  private readonly linkRates = new Map<string, number>()
  private readonly linkQueues = new Map<string, Map<RequestId, number>>()
  private leaving = new Set<string>()
  private readonly availability: AvailabilityTracker

  constructor(private readonly options: EndpointTrackerOptions) {
    this.availability = new AvailabilityTracker(options)
  }

  /** Applies a new table. @returns whether it has endpoints or addresses that were not there before. */
  setTable(table: Table): boolean {
    let hasNew = false
    const names = new Set(table.endpoints.map((row) => row.endpoint))
    for (const name of this.entries.keys()) if (!names.has(name)) this.entries.delete(name)
    this.availability.sweep((name) => names.has(name))
    for (const row of table.endpoints) {
      const known = this.entries.get(row.endpoint)
      if (known?.row.address === row.address) known.row = row
      else {
        this.availability.sweep((name) => name !== row.endpoint)
        this.entries.set(row.endpoint, this.createEntry(row))
        hasNew = true
      }
    }
    this.linkRates.clear()
    for (const { from, to, megabitsPerSecond } of table.links) {
      this.linkRates.set(`${from}>${to}`, megabitsPerSecond * BYTES_PER_MS_PER_MEGABIT)
    }
    return hasNew
  }

  /** Sets the endpoints that the platform lists as leaving. */
  setLeaving(names: string[]): void {
    this.leaving = new Set(names)
  }

  /** Whether this box knows its share, even if it is 0, of an endpoint of every pool that takes work. */
  get knowsShares(): boolean {
    const pools = new Map<string, boolean>()
    for (const entry of this.servingEntries()) {
      const pool = `${entry.row.service}/${entry.row.pool}`
      pools.set(pool, (pools.get(pool) ?? false) || this.knowsShare(entry))
    }
    return pools.size > 0 && [...pools.values()].every((covered) => covered)
  }

  /** Whether this box does not know its share of some endpoint that takes work. */
  get lacksShares(): boolean {
    return this.servingEntries().some((entry) => !this.knowsShare(entry))
  }

  private servingEntries(): Entry[] {
    return [...this.entries.values()].filter(({ row }) => row.state === 'serve' && row.weight > 0)
  }

  private knowsShare(entry: Entry): boolean {
    return entry.shareUntil > this.options.clock.now()
  }

  /** Prompt tokens that this box has sent to an endpoint and that are not prefilled yet. */
  prefillTokens(endpoint: EndpointName): number {
    const entry = this.entries.get(endpoint)
    return entry === undefined ? 0 : outstandingPrefill(entry)
  }

  /** Whether this box has anything in flight. */
  get hasWork(): boolean {
    return [...this.entries.values()].some((entry) => entry.sent.size > 0)
  }

  get rows(): EndpointRow[] {
    return [...this.entries.values()].map((entry) => entry.row)
  }

  row(endpoint: EndpointName): EndpointRow | undefined {
    return this.entries.get(endpoint)?.row
  }

  applyUpdate(endpoint: EndpointName, update: EndpointUpdate): void {
    const entry = this.entries.get(endpoint)
    if (entry === undefined) return
    const now = this.options.clock.now()
    if (update.report !== undefined) {
      entry.report = update.report
      entry.reportTakenAt = now - update.report.ageMs
    }
    entry.share = update.share
    entry.shareUntil = now + update.leaseMs
    entry.promptRate = update.promptTokensPerSecond
    entry.othersPrefillTokens = update.othersPrefillTokens
    entry.prefixes.applyEvents(update.cacheEvents)
  }

  recordSent(endpoint: EndpointName, request: RequestId, work: Omit<SentWork, 'at'>, blocks: string[]): void {
    const entry = this.entries.get(endpoint)
    if (entry === undefined) return
    const now = this.options.clock.now()
    entry.sent.set(request, { ...work, at: now })
    entry.prefixes.recordSent(blocks)
    entry.ejection.recordSent(now)
    this.availability.recordSent(endpoint)
    entry.promptBudget = this.promptBudget(entry, now) - work.promptTokens
    entry.promptBudgetAt = now
    this.shares.add(endpoint, 1, now)
  }

  /** Records that the prefill of a request is done; its memory is still held. */
  recordPrefilled(endpoint: EndpointName, request: RequestId): void {
    const work = this.entries.get(endpoint)?.sent.get(request)
    if (work !== undefined) work.prefillTokens = 0
  }

  recordEnded(endpoint: EndpointName, request: RequestId): void {
    this.entries.get(endpoint)?.sent.delete(request)
  }

  recordTransfer(link: string, request: RequestId, bytes: number): void {
    const queue = this.linkQueues.get(link) ?? new Map<RequestId, number>()
    this.linkQueues.set(link, queue)
    if (bytes > 0) queue.set(request, bytes)
    else queue.delete(request)
  }

  recordResult(endpoint: EndpointName, error: string | undefined): void {
    const entry = this.entries.get(endpoint)
    if (entry === undefined) return
    const { clock, random } = this.options
    if (error === undefined) this.availability.recordSuccess(endpoint)
    const change =
      error === undefined ? entry.ejection.recordSuccess() : entry.ejection.recordFailure(clock.now(), random)
    this.logChange(endpoint, change, error)
  }

  /**
   * Records a refusal or a failure. One with a retry time does not count as a failure of the endpoint, which gets no
   * work until then and is not ejected.
   */
  recordRefusal(endpoint: EndpointName, retryAfter: RetryAfter, request: RequestId, reason: string): void {
    if (retryAfter.type === 'rest') this.availability.recordRetryAfter(endpoint, retryAfter, request)
    else this.recordResult(endpoint, reason)
  }

  /** Milliseconds until the backoff of the first of some endpoints ends; undefined if one of them has none now. */
  backoffLeftMs(endpoints: EndpointName[]): Millis | undefined {
    const bound = this.availability.earliestAvailable(endpoints)
    return bound && bound.untilMs - this.options.clock.now()
  }

  inFlight(endpoint: EndpointName): number {
    return this.entries.get(endpoint)?.sent.size ?? 0
  }

  /** Leading tokens of a prompt that an endpoint's prefix cache probably holds. */
  cachedTokens(endpoint: EndpointName, blocks: string[]): number {
    return (this.entries.get(endpoint)?.prefixes.match(blocks) ?? 0) * BLOCK_TOKENS
  }

  /** Whether an endpoint gives the same answer again for the same seed, by its last report. */
  isDeterministic(endpoint: EndpointName): boolean {
    return this.entries.get(endpoint)?.report?.deterministic ?? false
  }

  /** Why an endpoint takes no new work from this box; undefined if it does. */
  closedReason(endpoint: EndpointName): ClosedReason | undefined {
    const entry = this.entries.get(endpoint)
    return entry === undefined ? 'state' : this.closedReasonOf(entry, this.options.clock.now())
  }

  /** Returns the view that a request with these prefix blocks is placed by. */
  view(blocks: string[]): PlacementView {
    const now = this.options.clock.now()
    const ratios = this.poolRatios(now)
    const endpoints = [...this.entries.values()].map((entry) => this.viewOf(entry, blocks, ratios, now))
    return { endpoints, links: this.linkViews() }
  }

  private viewOf(
    entry: Entry,
    blocks: string[],
    ratios: Map<EndpointName, number>,
    now: Millis,
  ): EndpointView {
    const { row, report } = entry
    const since = this.sentSinceReport(entry)
    const elapsed = report === undefined ? 0 : Math.max(0, now - entry.reportTakenAt)
    const rate = (report?.prefillTokensPerSecond ?? ASSUMED_TOKENS_PER_SECOND) / 1_000
    const reported = Math.max(0, (report?.queuedPrefillTokens ?? 0) - elapsed * rate) + since.prefillTokens
    return {
      row,
      closed: this.closedReasonOf(entry, now),
      queuedPrefillTokens: Math.max(reported, entry.othersPrefillTokens + outstandingPrefill(entry)),
      prefillTokensPerMs: rate,
      runningStreams: (report?.runningStreams ?? 0) + since.streams,
      kvTokensUsed: (report?.kvTokensUsed ?? 0) + since.kvTokens,
      stepMs: (report?.stepMs || ASSUMED_STEP_MS) * (1 + 0.02 * since.streams),
      cachedTokens: entry.prefixes.match(blocks) * BLOCK_TOKENS,
      shareRatio: ratios.get(row.endpoint) ?? 1,
      inFlight: entry.sent.size,
    }
  }

  /** What this box has sent that the last report does not include yet. */
  private sentSinceReport(entry: Entry) {
    const sums = { prefillTokens: 0, kvTokens: 0, streams: 0 }
    for (const work of entry.sent.values()) {
      if (entry.report !== undefined && work.at < entry.reportTakenAt) continue
      sums.prefillTokens += work.prefillTokens
      sums.kvTokens += work.kvTokens
      sums.streams += work.prefillTokens > 0 ? 0 : 1
    }
    return sums
  }

  private closedReasonOf(entry: Entry, now: Millis): ClosedReason | undefined {
    const { row } = entry
    if (row.state !== 'serve') return 'state'
    if (row.weight <= 0) return 'weight'
    if (entry.report?.leaving || this.leaving.has(row.endpoint)) return 'leaving'
    if (!entry.ejection.isOpen(now)) return 'ejected'
    if (this.availability.unavailability(row.endpoint) !== undefined) return 'resting'
    if (now >= entry.shareUntil || entry.sent.size >= entry.share) return 'no-credit'
    if (this.promptBudget(entry, now) <= 0) return 'rate-limit'
    return undefined
  }

  private promptBudget(entry: Entry, now: Millis): number {
    if (!Number.isFinite(entry.promptRate)) return Infinity
    const earned = ((now - entry.promptBudgetAt) / 1_000) * entry.promptRate
    return Math.min(entry.promptRate * PROMPT_BUDGET_SECONDS, entry.promptBudget + earned)
  }

  private poolRatios(now: Millis): Map<EndpointName, number> {
    const pools = new Map<string, EndpointRow[]>()
    for (const { row, ejection, report } of this.entries.values()) {
      const takesWork = row.state === 'serve' && row.weight > 0 && !report?.leaving && ejection.isOpen(now)
      if (!takesWork) continue
      const name = `${row.service}/${row.pool}`
      pools.set(name, [...(pools.get(name) ?? []), row])
    }
    return new Map([...pools.values()].flatMap((pool) => [...this.shares.ratios(pool, now)]))
  }

  private linkViews(): Map<string, LinkView> {
    const views = new Map<string, LinkView>()
    for (const [link, bytesPerMs] of this.linkRates) {
      const queue = this.linkQueues.get(link)
      const queuedBytes = queue === undefined ? 0 : [...queue.values()].reduce((sum, bytes) => sum + bytes, 0)
      views.set(link, { bytesPerMs, queuedBytes })
    }
    return views
  }

  private logChange(endpoint: EndpointName, change: EjectionChange, error: string | undefined): void {
    const { logger } = this.options
    if (change?.type === 'ejected')
      logger.warn('endpoint.ejected', { endpoint, reason: error ?? '', forMs: Math.round(change.forMs) })
    if (change?.type === 'restored') logger.info('endpoint.restored', { endpoint })
  }

  private createEntry(row: EndpointRow): Entry {
    return {
      row,
      reportTakenAt: -Infinity,
      share: 0,
      shareUntil: -Infinity,
      othersPrefillTokens: 0,
      promptRate: Infinity,
      promptBudget: 0,
      promptBudgetAt: this.options.clock.now(),
      sent: new Map(),
      prefixes: new PrefixIndex(),
      ejection: new Ejection(),
    }
  }
}

function outstandingPrefill(entry: Entry): number {
  let tokens = 0
  for (const work of entry.sent.values()) tokens += work.prefillTokens
  return tokens
}

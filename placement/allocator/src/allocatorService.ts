import { delay, every, type CancelTimer } from '@forkstage/clock'
import type { InstanceId, Stage } from '@forkstage/directory'
import { ForkstageError } from '@forkstage/error'
import { readOriginQuery, readOrigins, readVersions, type OriginAnswer } from '@forkstage/origins'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { Millis } from '@forkstage/types'
import { Allocator } from './allocator'
import type { AllocatorServiceOptions } from './allocatorServiceOptions'
import type { LearnedModels } from './allocatorOptions'
import { checkReport } from './checkReport'
import type {
  PlaceAsk,
  PlaceDecision,
  Placed,
  ReportAnswer,
  ReportedHold,
  StepGrant,
  UseOutcome,
} from './allocatorTypes'
import { EnginePace } from './enginePace'
import { LengthForecast } from './lengthForecast'
import { logDecision } from './logDecision'
import type { PaceView } from './peerPace'
import type { StageChange } from './planStages'
import { readPlaceAsk, readPlaceReport, type PlaceReport } from './readPlaceCalls'

/** Methods that entries call on the leader, which places requests. */
export const PLACE = {
  ask: 'place.ask',
  withdraw: 'place.withdraw',
  prefilled: 'place.prefilled',
  note: 'place.note',
  release: 'place.release',
  report: 'place.report',
  /** Returns the origin of a stream. */
  origin: 'place.origin',
  /** Reports streams that an entry has begun, or new versions. */
  origins: 'place.origins',
} as const

/** Thrown if this machine does not place requests at the moment. */
export class NotPlacingError extends ForkstageError {
  constructor() {
    super(
      'FORKSTAGE_NOT_PLACING',
      'This machine is not the leader, so it places no requests.',
      'Ask the leader.',
      {
        step: 'place',
      },
    )
  }
}

const TICK_MS = 25
/** A new leader places once all entries have reported, or after this time, since an entry may be down. */
const REPORT_WAIT_MS = 300
const REPORT_POLL_MS = 10
/** A caller that breaks a stream off may be back before the entry's record of it has arrived. */
const ORIGIN_WAIT_MS = 150
const ORIGIN_POLL_MS = 10
const ENTRY_GONE_MS = 4_000

/** Places requests for all entries while this machine leads; rebuilds its state from their reports in each term. */
export class AllocatorService {
  private allocator: Allocator
  private readonly learned: LearnedModels = {
    pace: new EnginePace(
      (id, stage, isSlow, view) => this.logPace(id, stage, isSlow, view),
      (id, at) => (this.options.cold?.leftMs(id, at) ?? 0) > 0,
    ),
    forecast: new LengthForecast(),
  }
  private term = -1
  private since: Millis = 0
  private readonly lastContactAt = new Map<string, Millis>()
  /** Entries that have reported in this term. */
  private readonly reportedEntries = new Set<string>()
  /** Requests that wait for a decision, with the callback that rejects them when this machine stops placing. */
  private readonly pending = new Map<string, (error: Error) => void>()
  private cancelTick: CancelTimer = () => undefined

  constructor(private readonly options: AllocatorServiceOptions) {
    this.allocator = this.createAllocator()
  }

  get holdCount(): number {
    return this.allocator.holdCount
  }

  get waitingCount(): number {
    return this.allocator.waitingCount
  }

  methods(): Record<string, PeerMethod> {
    const now = () => this.options.clock.now()
    return {
      [PLACE.ask]: (params: unknown) => this.ask(readPlaceAsk(params)),
      [PLACE.withdraw]: (params: { request: string }) => this.withdraw(params.request),
      [PLACE.prefilled]: (params: { request: string; outcome: UseOutcome; tookMs: Millis }) =>
        this.allocator.recordPrefilled(params.request, params.outcome, params.tookMs, now()),
      [PLACE.note]: (params: { endpoint: InstanceId; outcome: UseOutcome; tookMs?: Millis }) =>
        this.allocator.recordUse(params.endpoint, params.outcome, now(), params.tookMs),
      [PLACE.release]: (params: {
        request: string
        decode?: InstanceId
        outcome: UseOutcome
        madeTokens: number
      }) => this.allocator.release(params.request, params.outcome, params.madeTokens, now(), params.decode),
      [PLACE.report]: (params: unknown) => this.applyReport(readPlaceReport(params)),
      [PLACE.origin]: (params: unknown) => this.findOrigin(params),
      [PLACE.origins]: (params: unknown) => this.recordOrigins(params),
    }
  }

  /** Returns the stage change that a service should make; undefined if none, or if this machine may not place. */
  planStage(service: string): StageChange | undefined {
    return this.mayPlace() ? this.allocator.planStage(service, this.options.clock.now()) : undefined
  }

  /** Records the outcome of a use of an engine that belongs to no request. */
  recordUse(id: InstanceId, outcome: UseOutcome): void {
    this.allocator.recordUse(id, outcome, this.options.clock.now())
  }

  /** Forgets what was learned about an engine that turned cold: it has restarted. */
  forgetEngine(id: InstanceId): void {
    this.learned.pace.forget(id)
    this.allocator.clearPrefixCache(id)
  }

  /** Gives an engine no work while it changes its stage. */
  markChanging(id: InstanceId, to: Stage, forMs: Millis): void {
    this.allocator.markChanging(id, to, forMs, this.options.clock.now())
  }

  /** Keeps an engine in use, without another order, while the result of its last order is unknown. */
  markOrdered(id: InstanceId, to: Stage, forMs: Millis): void {
    this.allocator.markOrdered(id, to, forMs, this.options.clock.now())
  }

  isChanging(id: InstanceId): boolean {
    return this.allocator.isChanging(id, this.options.clock.now())
  }

  start(): void {
    this.cancelTick = every(this.options.clock, TICK_MS, () => this.tick())
  }

  stop(): void {
    this.cancelTick()
  }

  private async ask(ask: PlaceAsk): Promise<PlaceDecision> {
    const arrivedAt = this.options.clock.now()
    this.renewTerm()
    await this.waitForReports()
    if (!this.mayPlace()) throw new NotPlacingError()
    this.lastContactAt.set(ask.entry, this.options.clock.now())
    const askedAt = this.options.clock.now()
    const decision = await this.decide(ask)
    this.log(ask, decision, this.options.clock.now() - askedAt)
    return decision.type === 'placed' ? addWait(decision, askedAt - arrivedAt) : decision
  }

  /** Returns the origin of a stream, once entries have reported the streams that they have begun. */
  private async findOrigin(params: unknown): Promise<OriginAnswer> {
    const { clock, origins } = this.options
    this.renewTerm()
    await this.waitForReports()
    const query = readOriginQuery(params)
    const until = clock.now() + ORIGIN_WAIT_MS
    for (;;) {
      if (!this.mayPlace()) throw new NotPlacingError()
      const answer = (query && origins?.find(query)) ?? {}
      if (answer.origin !== undefined || clock.now() >= until) return answer
      await delay(clock, ORIGIN_POLL_MS)
    }
  }

  /** Records streams that an entry has begun, or versions that are new at another control machine. @throws NotPlacingError so that the entry tells the leader. */
  private recordOrigins(params: unknown): true {
    if (!this.options.isLeader()) throw new NotPlacingError()
    const { origins, versions } = params as { origins?: unknown; versions?: unknown }
    this.options.origins?.record(readOrigins(origins))
    this.options.origins?.recordVersions(readVersions(versions))
    return true
  }

  /** Delays requests at a new leader until entries have reported what runs. */
  private async waitForReports(): Promise<void> {
    const { clock, isLeader } = this.options
    while (isLeader() && !this.hasReports()) await delay(clock, REPORT_POLL_MS)
  }

  private hasReports(): boolean {
    const { clock, entries } = this.options
    const known = entries()
    const hasAllReports = known > 0 && this.reportedEntries.size >= known
    return hasAllReports || clock.now() - this.since >= REPORT_WAIT_MS
  }

  private decide(ask: PlaceAsk): Promise<PlaceDecision> {
    const { request } = ask
    return new Promise<PlaceDecision>((resolve, reject) => {
      this.pending.set(request, reject)
      this.allocator.ask(ask, this.options.clock.now(), (decision) => {
        this.pending.delete(request)
        resolve(decision)
      })
    })
  }

  /** Rejects the waiting requests: this machine no longer places. */
  private rejectPending(): void {
    const rejects = [...this.pending.values()]
    this.pending.clear()
    rejects.forEach((reject) => reject(new NotPlacingError()))
  }

  private withdraw(request: string): void {
    this.pending.delete(request)
    this.allocator.withdraw(request, this.options.clock.now())
  }

  private applyReport({ entry, holds, origins, informedTerm, malformed }: PlaceReport): ReportAnswer {
    this.renewTerm()
    if (origins !== undefined) this.options.origins?.record(origins)
    const reason = `${malformed} rows of the report are malformed`
    if (malformed > 0) this.options.logger.warn('place.report-refused', { entry, request: '', reason })
    const now = this.options.clock.now()
    this.lastContactAt.set(entry, now)
    // An entry that believes to report to an earlier term reports again, with the origins of its streams.
    if (origins !== undefined || informedTerm === undefined || informedTerm === this.term)
      this.reportedEntries.add(entry)
    this.allocator.applyReport(
      entry,
      holds.map((one) => this.sanitize(entry, one)),
      now,
    )
    const moves = this.mayPlace() ? this.allocator.planMigrations(entry, now) : []
    for (const { request, to } of moves)
      this.options.logger.info('answer.moves', { request, entry, endpoint: to })
    return { moves, term: this.term }
  }

  /** Reduces an implausible report to the hold itself: the hold is kept, but nothing is learned from the report. */
  private sanitize(entry: string, hold: ReportedHold): ReportedHold {
    const reason = checkReport(hold)
    if (reason === undefined) return hold
    const { ask, prefill, decode } = hold
    this.options.logger.warn('place.report-refused', { entry, request: ask.request, reason })
    return { ask, prefill, decode, ageMs: 0 }
  }

  private tick(): void {
    const { clock, isLeader } = this.options
    if (!isLeader()) return this.rejectPending()
    this.renewTerm()
    const now = clock.now()
    for (const [entry, at] of this.lastContactAt) {
      if (now - at < ENTRY_GONE_MS) continue
      this.lastContactAt.delete(entry)
      this.allocator.removeEntry(entry)
    }
    this.allocator.tick(now)
  }

  private mayPlace(): boolean {
    return this.options.isLeader() && this.hasReports()
  }

  /** Discards the state of an earlier term: another leader may have placed requests since. */
  private renewTerm(): void {
    const { term, clock } = this.options
    if (term() === this.term) return
    this.term = term()
    this.since = clock.now()
    this.reportedEntries.clear()
    this.rejectPending()
    this.allocator = this.createAllocator()
  }

  private createAllocator(): Allocator {
    const { endpoints, engine, isBarred, logger, cold, limits, topology } = this.options
    return new Allocator({
      topology,
      endpoints,
      engine,
      isBarred,
      cold,
      limits,
      learned: this.learned,
      onEjected: (endpoint, reason, forMs) => logger.warn('endpoint.ejected', { endpoint, reason, forMs }),
    })
  }

  private log(ask: PlaceAsk, decision: PlaceDecision, waitedMs: Millis): void {
    const { logger, clock, engine } = this.options
    const { allocator, term } = this
    const memory = engine(ask.service)?.kvTokens ?? 0
    logDecision(logger, { ask, decision, waitedMs, allocator, memory, term, now: clock.now() })
  }

  private logPace(endpoint: InstanceId, stage: Stage, isSlow: boolean, view: PaceView): void {
    this.options.logger.info('engine.pace', {
      endpoint,
      stage,
      outcome: isSlow ? 'slow' : 'well',
      pace: toHundredths(view.ms),
      peers: toHundredths(view.peersMs),
      build: toHundredths(view.build),
      slowness: toHundredths(view.slowness),
      ageMs: Math.round(view.ageMs),
      term: this.term,
    })
  }
}

/** Adds the wait for reports to a grant, whose time entries count from their call. */
function addWait(placed: Placed, ms: Millis): Placed {
  const later = (grant: StepGrant | undefined) => grant && { ...grant, waitedMs: grant.waitedMs + ms }
  return { ...placed, cold: later(placed.cold), limited: later(placed.limited) }
}

function toHundredths(value: number): number {
  return Math.round(value * 100) / 100
}

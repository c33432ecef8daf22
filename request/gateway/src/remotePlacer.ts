import {
  PLACE,
  UNKNOWN_SERVICE,
  type AnswerMove,
  type PlaceAsk,
  type PlaceDecision,
  type Placed,
  type ReportAnswer,
  type ReportedHold,
  type UseOutcome,
} from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Address, FailureDomain, Millis } from '@forkstage/types'
import type { ColdEndpointLimiter } from './coldEndpointLimiter'
import type { EndpointPool } from './endpointPool'
import type { EndpointRateLimiter } from './endpointRateLimiter'
import type { LeaderClient } from './leaderClient'
import { waitFor } from './waitFor'
import {
  refusalFor,
  type ModelPlace,
  type ModelPlacer,
  type ModelWork,
  type PlaceAnswer,
} from './modelPlacer'
import { poolPlace } from './poolPlace'

/** Options of {@link RemotePlacer}. */
export interface RemotePlacerOptions {
  entry: string
  /** The failure domain of this entry. */
  domain?: FailureDomain
  pool: EndpointPool
  /** Places while nobody can be asked. */
  fallback: ModelPlacer
  /** The way to the control machine that leads. */
  leaderClient: LeaderClient
  /** Takes what the leader counted for places at cold engines. */
  cold?: ColdEndpointLimiter
  /** Takes what the leader counted for places at engines that name rates. */
  limits?: EndpointRateLimiter
  clock: Clock
  logger: Logger
}

interface ActivePlace {
  ask: PlaceAsk
  prefill?: string
  decode: string
  placedAt: Millis
  decodingAt?: Millis
  /** The place as whoever runs the request has it. */
  place: ModelPlace
}

/** Without a leader, one is waited for this share of the time in which a request hears of a refusal. */
const LEADER_WAIT_SHARE = 0.7
/** Added to the time a request may be held, for the way there and back. */
const ANSWER_SLACK_MS = 200
/** An entry that has nothing under way only shows that it is there. */
const REPORT_IDLE_MS = 1_000
/** While answers run, their progress tells the leader within a second when an engine has turned slow. */
const REPORT_ACTIVE_MS = 400
/** A new leader places once it has heard from the entries. */
const REPORT_CHECK_MS = 40
const LEADER_CHECK_MS = 20
/** So many leaders are asked for one request, one after the other; then this entry places it. */
const MAX_LEADERS_ASKED = 3

/** Asks the leading control machine for places, and reports what runs so that the next leader knows. */
export class RemotePlacer implements ModelPlacer {
  private readonly active = new Map<string, ActivePlace>()
  private reportedTo: Address | undefined
  private reportedAt = -Infinity
  private cancelReports: CancelTimer = () => undefined

  constructor(private readonly options: RemotePlacerOptions) {}

  start(): void {
    this.cancelReports = every(this.options.clock, REPORT_CHECK_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelReports()
  }

  async place(work: ModelWork): Promise<PlaceAnswer> {
    const { clock, pool } = this.options
    // Whoever places has not heard what they said here.
    const unavailable = pool.unavailability(work.service, { stage: 'decode', regions: work.regions })
    if (unavailable !== undefined) return refusalFor(unavailable)
    const first = this.toAsk(work)
    const askedAt = clock.now()
    let ask = first
    let decision = await this.ask(ask)
    for (let tries = 1; decision === 'another leads' && tries < MAX_LEADERS_ASKED; tries += 1) {
      ask = withElapsedTime(first, clock.now() - askedAt)
      decision = await this.ask(ask)
    }
    if (decision === 'another leads') decision = undefined
    if (decision?.type === 'refused' && !isOfOlderSheet(ask, decision)) return decision
    if (decision?.type === 'placed') {
      const place = this.toPlace(ask, decision)
      if (place !== undefined) return { type: 'place', place }
    }
    const answer = await this.options.fallback.place(work)
    if (answer.type === 'refused') return answer
    return { type: 'place', place: this.reportedPlace(ask, answer.place) }
  }

  private async ask(ask: PlaceAsk): Promise<PlaceDecision | 'another leads' | undefined> {
    const { leaderClient, logger, clock } = this.options
    // While a leader is being elected one comes in a moment.
    const leader = await waitFor(clock, Math.max(0, ask.promptMs) * LEADER_WAIT_SHARE, () =>
      leaderClient.leader(),
    )
    const watch = this.watchLeader(leader)
    const askedAt = clock.now()
    try {
      const call = leaderClient.call<PlaceDecision>(PLACE.ask, { ask }, ask.holdMs + ANSWER_SLACK_MS)
      const decision = await Promise.race([call, watch.changed])
      if (decision !== 'another leads' && decision.type === 'placed') this.addGrants(ask, decision, askedAt)
      return decision
    } catch (error) {
      leaderClient.notify(PLACE.withdraw, { request: ask.request })
      logger.warn('place.alone', { request: ask.request, reason: toErrorBody(error).message })
      return undefined
    } finally {
      watch.cancel()
    }
  }

  private addGrants({ request }: PlaceAsk, placed: Placed, askedAt: Millis): void {
    const { cold, limits } = this.options
    cold?.addGrants(request, placed, askedAt)
    limits?.addGrants(request, placed, askedAt)
  }

  /** Tells when another machine than `leader` leads, or none: what was asked there waits for nothing. */
  private watchLeader(leader: Address | undefined): {
    changed: Promise<'another leads'>
    cancel: () => void
  } {
    const { leaderClient, clock } = this.options
    let cancel: CancelTimer = () => undefined
    const changed = new Promise<'another leads'>((resolve) => {
      // Asked through a neighbour, which knows better than this entry who leads.
      if (leader === undefined) return
      cancel = every(clock, LEADER_CHECK_MS, () => {
        if (leaderClient.leader() !== leader) resolve('another leads')
      })
    })
    return { changed, cancel: () => cancel() }
  }

  private toAsk(work: ModelWork): PlaceAsk {
    const { entry, domain, pool } = this.options
    const unavailable = pool.unavailableEngines(work.service)
    const avoid = unavailable.length > 0 ? { avoid: unavailable } : {}
    return { ...work, entry, entryDomain: domain, except: [...work.except], ...avoid }
  }

  /** The place by its engines, or undefined where this entry does not know them yet, or not in the request's regions. */
  private toPlace(ask: PlaceAsk, placed: Placed): ModelPlace | undefined {
    const { pool } = this.options
    const decode = pool.getWithinRegions(placed.decode, ask.regions)
    const prefill =
      placed.prefill === undefined ? undefined : pool.getWithinRegions(placed.prefill, ask.regions)
    const isUnknown = decode === undefined || (placed.prefill !== undefined && prefill === undefined)
    if (isUnknown) {
      this.options.leaderClient.notify(PLACE.withdraw, { request: ask.request })
      return undefined
    }
    const { promptTokens, mostTokens, hintTokens } = ask
    const tokens = promptTokens + Math.min(mostTokens, hintTokens ?? mostTokens)
    const { readsInMs, readElsewhereInMs } = placed
    const place = poolPlace({ pool, prefill, decode, promptTokens, tokens })
    return this.reportedPlace(ask, { ...place, readsInMs, readElsewhereInMs })
  }

  /** A place whose course the leader is told. */
  private reportedPlace(ask: PlaceAsk, place: ModelPlace): ModelPlace {
    const { clock } = this.options
    const { request } = ask
    const decodingAt = place.prefill === undefined ? clock.now() : undefined
    const tracked: ModelPlace = {
      prefill: place.prefill,
      decode: place.decode,
      readsInMs: place.readsInMs,
      readElsewhereInMs: place.readElsewhereInMs,
      reportPrefilled: (outcome, tookMs) => {
        hold.decodingAt = clock.now()
        place.reportPrefilled(outcome, tookMs)
        this.options.leaderClient.notify(PLACE.prefilled, { request, outcome, tookMs: Math.round(tookMs) })
      },
      reportStalled: (forMs) => this.reportSilent(hold.decode, forMs),
      reportMoved: (to) => {
        place.reportMoved(to)
        tracked.decode = to
        hold.decode = to.endpoint.id
      },
      release: (outcome, tookMs, madeTokens) => {
        this.active.delete(request)
        place.release(outcome, tookMs, madeTokens)
        this.options.leaderClient.notify(PLACE.release, { request, decode: hold.decode, outcome, madeTokens })
      },
    }
    const prefill = place.prefill?.endpoint.id
    const decode = place.decode.endpoint.id
    const kept = { ...ask, avoid: undefined }
    const hold: ActivePlace = {
      ask: kept,
      prefill,
      decode,
      placedAt: clock.now(),
      decodingAt,
      place: tracked,
    }
    this.active.set(request, hold)
    return tracked
  }

  private reportSilent(endpoint: string, forMs: Millis): void {
    const outcome: UseOutcome = 'silent'
    this.options.leaderClient.notify(PLACE.note, { endpoint, outcome, tookMs: Math.round(forMs) })
  }

  private reportIfDue(): void {
    const { clock, entry, leaderClient } = this.options
    const leader = leaderClient.leader()
    const isNew = leader !== this.reportedTo
    const everyMs = this.active.size > 0 ? REPORT_ACTIVE_MS : REPORT_IDLE_MS
    if (!isNew && clock.now() - this.reportedAt < everyMs) return
    this.reportedTo = leader
    this.reportedAt = clock.now()
    const holds = [...this.active.values()].map((one) => toReported(one, clock.now()))
    if (holds.length === 0) return leaderClient.notify(PLACE.report, { entry, holds })
    void leaderClient
      .tryCallOrNotify<ReportAnswer | undefined>(PLACE.report, { entry, holds }, REPORT_ACTIVE_MS * 2)
      .then((answer) => this.applyMoves(answer?.moves ?? []))
  }

  /** Lets answers go on at other engines, as the leader wants. */
  private applyMoves(moves: AnswerMove[]): void {
    for (const { request, to } of moves) {
      const hold = this.active.get(request)
      const endpoint = hold && this.options.pool.getWithinRegions(to, hold.ask.regions)
      if (endpoint !== undefined) hold?.place.moveTo?.(endpoint)
    }
  }
}

/** An answer that has begun goes on under the sheet that it came under, though the newest has not its service any more. */
function isOfOlderSheet({ isBegun }: PlaceAsk, { reason }: { reason: string }): boolean {
  return isBegun === true && reason === UNKNOWN_SERVICE
}

/** A request that asks again, with the times that it has left. */
function withElapsedTime(ask: PlaceAsk, passedMs: Millis): PlaceAsk {
  return {
    ...ask,
    targetMs: ask.targetMs - passedMs,
    promptMs: ask.promptMs - passedMs,
    leftMs: ask.leftMs - passedMs,
    patienceMs: ask.patienceMs === undefined ? undefined : ask.patienceMs - passedMs,
    holdMs: Math.max(0, ask.holdMs - passedMs),
  }
}

function toReported(
  { ask, prefill, decode, placedAt, decodingAt, place }: ActivePlace,
  now: Millis,
): ReportedHold {
  const madeTokens = place.madeTokens?.() ?? 0
  return {
    ask,
    prefill,
    decode,
    ageMs: now - placedAt,
    decodingForMs: decodingAt === undefined ? undefined : now - decodingAt,
    madeTokens: madeTokens > 0 ? madeTokens : undefined,
  }
}

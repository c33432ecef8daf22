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
import type { SendOutcome } from './sendOutcome'
import type { EndpointRateLimiter } from './endpointRateLimiter'
import type { LeaderClient } from './leaderClient'
import type { OriginClient } from './originClient'
import { isVersionGone, NO_VERSION_LEFT } from './isVersionGone'
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
  /** Places requests while no leader can be asked. */
  fallback: ModelPlacer
  /** Calls the leading control machine. */
  leaderClient: LeaderClient
  /** Receives the steps that the leader counted for cold engines. */
  cold?: ColdEndpointLimiter
  /** Receives the steps that the leader counted for engines that advertise rates. */
  limits?: EndpointRateLimiter
  /** The origins of streams that the leader needs; none are reported where left out. */
  origins?: Pick<OriginClient, 'list' | 'viewSince'>
  clock: Clock
  logger: Logger
}

interface ActivePlace {
  ask: PlaceAsk
  prefill?: string
  decode: string
  placedAt: Millis
  decodingAt?: Millis
  /** The place that the relay of the request uses. */
  place: ModelPlace
}

/** Share of the time until a refusal is due for which a request waits for a leader. */
const LEADER_WAIT_SHARE = 0.7
/** Added to the longest hold of a request for the round trip. */
const ANSWER_SLACK_MS = 200
/** Report interval of an entry without requests: the report only shows that the entry is alive. */
const REPORT_IDLE_MS = 1_000
/**
 * Report interval while answers run: by their progress the leader notices within a second that an engine has turned
 * slow.
 */
const REPORT_ACTIVE_MS = 400
/** A new leader places requests once the entries have reported to it, so changes are noticed quickly. */
const REPORT_CHECK_MS = 40
const LEADER_CHECK_MS = 20
/** Leaders that are asked for one request, one after the other, before this entry places it by itself. */
const MAX_LEADERS_ASKED = 3

/** Asks the leading control machine for places, and reports active requests so that a new leader knows of them. */
export class RemotePlacer implements ModelPlacer {
  private readonly active = new Map<string, ActivePlace>()
  private reportedTo: Address | undefined
  private reportedAt = -Infinity
  /** The leader, and its term, that has confirmed that it knows the streams that began here before it led. */
  private informed: { leader?: Address; term: number } | undefined
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
    // The leader may not know what engines have announced to this entry.
    const { service, regions, boundVersion } = work
    const unavailable = pool.unavailability(service, {
      stage: 'decode',
      regions,
      softwareVersion: boundVersion,
    })
    if (unavailable !== undefined) return refusalFor(unavailable)
    if (isVersionGone(this.options, work)) return refusalFor(NO_VERSION_LEFT)
    const first = this.toAsk(work)
    const askedAt = clock.now()
    let ask = first
    let decision = await this.ask(ask)
    for (let tries = 1; decision === 'leader-changed' && tries < MAX_LEADERS_ASKED; tries += 1) {
      ask = withElapsedTime(first, clock.now() - askedAt)
      decision = await this.ask(ask)
    }
    if (decision === 'leader-changed') decision = undefined
    if (decision?.type === 'refused' && !isOfOlderSheet(ask, decision)) return decision
    if (decision?.type === 'placed') {
      const place = this.toPlace(ask, decision)
      if (place !== undefined) return { type: 'place', place }
    }
    const answer = await this.options.fallback.place(work)
    if (answer.type === 'refused') return answer
    return { type: 'place', place: this.reportedPlace(ask, answer.place) }
  }

  private async ask(ask: PlaceAsk): Promise<PlaceDecision | 'leader-changed' | undefined> {
    const { leaderClient, logger, clock } = this.options
    // During an election a new leader is usually known within moments.
    const leader = await waitFor(clock, Math.max(0, ask.promptMs) * LEADER_WAIT_SHARE, () =>
      leaderClient.leader(),
    )
    const watch = this.watchLeader(leader)
    const askedAt = clock.now()
    try {
      const call = leaderClient.call<PlaceDecision>(PLACE.ask, { ask }, ask.holdMs + ANSWER_SLACK_MS)
      const decision = await Promise.race([call, watch.changed])
      if (decision !== 'leader-changed' && decision.type === 'placed') this.addGrants(ask, decision, askedAt)
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

  /**
   * Resolves `changed` once another machine than `leader` leads, or none: a call to the former leader would only
   * time out.
   */
  private watchLeader(leader: Address | undefined): {
    changed: Promise<'leader-changed'>
    cancel: () => void
  } {
    const { leaderClient, clock } = this.options
    let cancel: CancelTimer = () => undefined
    const changed = new Promise<'leader-changed'>((resolve) => {
      // The call goes through a neighbour, which knows the leader better than this entry.
      if (leader === undefined) return
      cancel = every(clock, LEADER_CHECK_MS, () => {
        if (leaderClient.leader() !== leader) resolve('leader-changed')
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

  /**
   * Returns the place of a decision; undefined where this entry does not know its engines yet, or they are outside the
   * request's regions.
   */
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

  /** Returns a place whose progress is reported to the leader. */
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
        const used = useOutcome(outcome)
        this.options.leaderClient.notify(PLACE.prefilled, {
          request,
          outcome: used,
          tookMs: Math.round(tookMs),
        })
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
        this.options.leaderClient.notify(PLACE.release, {
          request,
          decode: hold.decode,
          outcome: useOutcome(outcome),
          madeTokens,
        })
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
    const { clock, leaderClient } = this.options
    const leader = leaderClient.leader()
    const isNew = leader !== this.reportedTo
    const everyMs = this.active.size > 0 ? REPORT_ACTIVE_MS : REPORT_IDLE_MS
    if (!isNew && clock.now() - this.reportedAt < everyMs) return
    this.reportedTo = leader
    this.reportedAt = clock.now()
    void this.report(leader)
  }

  private async report(leader: Address | undefined): Promise<void> {
    const { clock, entry, leaderClient, origins } = this.options
    const holds = [...this.active.values()].map((one) => toReported(one, clock.now()))
    const { informed } = this
    const isInformed = leader !== undefined && informed?.leader === leader
    const news = isInformed ? { informedTerm: informed.term } : { origins: origins?.list() }
    const report = { entry, holds, ...news }
    const timeoutMs = REPORT_ACTIVE_MS * 2
    const answer = await leaderClient.tryCallOrNotify<ReportAnswer | undefined>(
      PLACE.report,
      report,
      timeoutMs,
    )
    if (answer === undefined) return
    const term = answer.term ?? 0
    this.informed = isInformed && informed.term !== term ? undefined : { leader, term }
    // The leader has restarted under its address and lacks what was sent to its earlier term.
    if (this.informed === undefined) this.reportedAt = -Infinity
    this.applyMoves(answer.moves)
  }

  /** Migrates answers to other engines, as the leader decided. */
  private applyMoves(moves: AnswerMove[]): void {
    for (const { request, to } of moves) {
      const hold = this.active.get(request)
      const endpoint = hold && this.options.pool.getWithinRegions(to, hold.ask.regions)
      if (endpoint !== undefined) hold?.place.moveTo?.(endpoint)
    }
  }
}

/**
 * Whether a refusal only means that a newer sheet lacks the request's service: an answer that has begun continues under
 * the sheet that admitted it.
 */
function isOfOlderSheet({ isBegun }: PlaceAsk, { reason }: { reason: string }): boolean {
  return isBegun === true && reason === UNKNOWN_SERVICE
}

/** Returns the request of a further attempt, with its remaining times shortened by `passedMs`. */
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

/** Returns the outcome that is reported for an engine; a loss on the way is none of its own. */
function useOutcome(outcome: SendOutcome): UseOutcome {
  return outcome === 'no-path' ? 'cancelled' : outcome
}

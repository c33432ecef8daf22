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
import type { ColdGate } from './coldGate'
import type { EndpointPool } from './endpointPool'
import type { LimitGate } from './limitGate'
import type { LeaderWay } from './leaderWay'
import { waitFor } from './waitFor'
import { refusedAs, type ModelPlace, type ModelPlacer, type ModelWork, type PlaceAnswer } from './modelPlacer'
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
  way: LeaderWay
  /** Takes what the leader counted for places at cold engines. */
  cold?: ColdGate
  /** Takes what the leader counted for places at engines that name rates. */
  limits?: LimitGate
  clock: Clock
  logger: Logger
}

interface Active {
  ask: PlaceAsk
  prefill?: string
  decode: string
  placedAt: Millis
  decodingAt?: Millis
  /** The place as whoever runs the request has it. */
  place: ModelPlace
}

/** Without a leader, one is waited for this share of the time in which a request hears of a refusal. */
const WAIT_FOR_LEADER_SHARE = 0.7
/** Added to the time a request may be held, for the way there and back. */
const ANSWER_SLACK_MS = 200
/** An entry that has nothing under way only shows that it is there. */
const REPORT_IDLE_MS = 1_000
/** While answers run, their progress tells the leader within a second when an engine has turned slow. */
const REPORT_ACTIVE_MS = 400
/** A new leader places once it has heard from the entries. */
const LOOK_EVERY_MS = 40
const LEADER_LOOK_MS = 20
/** So many leaders are asked for one request, one after the other; then this entry places it. */
const MOST_LEADERS = 3

/** Asks the leading control machine for places, and reports what runs so that the next leader knows. */
export class RemotePlacer implements ModelPlacer {
  private readonly active = new Map<string, Active>()
  private reportedTo: Address | undefined
  private reportedAt = -Infinity
  private cancelLook: CancelTimer = () => undefined

  constructor(private readonly options: RemotePlacerOptions) {}

  start(): void {
    this.cancelLook = every(this.options.clock, LOOK_EVERY_MS, () => this.reportIfDue())
  }

  stop(): void {
    this.cancelLook()
  }

  async place(work: ModelWork): Promise<PlaceAnswer> {
    const { clock, pool } = this.options
    // Whoever places has not heard what they said here.
    const closed = pool.closed(work.service, { stage: 'decode', regions: work.regions })
    if (closed !== undefined) return refusedAs(closed)
    const first = this.toAsk(work)
    const askedAt = clock.now()
    let ask = first
    let decision = await this.ask(ask)
    for (let tries = 1; decision === 'another leads' && tries < MOST_LEADERS; tries += 1) {
      ask = laterBy(first, clock.now() - askedAt)
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
    return { type: 'place', place: this.tracked(ask, answer.place) }
  }

  private async ask(ask: PlaceAsk): Promise<PlaceDecision | 'another leads' | undefined> {
    const { way, logger, clock } = this.options
    // While a leader is being elected one comes in a moment.
    const leader = await waitFor(clock, Math.max(0, ask.promptMs) * WAIT_FOR_LEADER_SHARE, () => way.leader())
    const watch = this.watchLeader(leader)
    const askedAt = clock.now()
    try {
      const call = way.call<PlaceDecision>(PLACE.ask, { ask }, ask.holdMs + ANSWER_SLACK_MS)
      const decision = await Promise.race([call, watch.changed])
      if (decision !== 'another leads' && decision.type === 'placed') this.takeCounted(ask, decision, askedAt)
      return decision
    } catch (error) {
      way.notify(PLACE.withdraw, { request: ask.request })
      logger.warn('place.alone', { request: ask.request, reason: toErrorBody(error).message })
      return undefined
    } finally {
      watch.cancel()
    }
  }

  private takeCounted({ request }: PlaceAsk, placed: Placed, askedAt: Millis): void {
    const { cold, limits } = this.options
    cold?.take(request, placed, askedAt)
    limits?.take(request, placed, askedAt)
  }

  /** Tells when another machine than `leader` leads, or none: what was asked there waits for nothing. */
  private watchLeader(leader: Address | undefined): {
    changed: Promise<'another leads'>
    cancel: () => void
  } {
    const { way, clock } = this.options
    let cancel: CancelTimer = () => undefined
    const changed = new Promise<'another leads'>((resolve) => {
      // Asked through a neighbour, which knows better than this entry who leads.
      if (leader === undefined) return
      cancel = every(clock, LEADER_LOOK_MS, () => {
        if (way.leader() !== leader) resolve('another leads')
      })
    })
    return { changed, cancel: () => cancel() }
  }

  private toAsk(work: ModelWork): PlaceAsk {
    const { entry, domain, pool } = this.options
    const closed = pool.closedEngines(work.service)
    const avoid = closed.length > 0 ? { avoid: closed } : {}
    return { ...work, entry, entryDomain: domain, except: [...work.except], ...avoid }
  }

  /** The place by its engines, or undefined where this entry does not know them yet, or not in the request's regions. */
  private toPlace(ask: PlaceAsk, placed: Placed): ModelPlace | undefined {
    const { pool } = this.options
    const decode = pool.atHome(placed.decode, ask.regions)
    const prefill = placed.prefill === undefined ? undefined : pool.atHome(placed.prefill, ask.regions)
    const isUnknown = decode === undefined || (placed.prefill !== undefined && prefill === undefined)
    if (isUnknown) {
      this.options.way.notify(PLACE.withdraw, { request: ask.request })
      return undefined
    }
    const { promptTokens, mostTokens, hintTokens } = ask
    const tokens = promptTokens + Math.min(mostTokens, hintTokens ?? mostTokens)
    const { readsInMs, readElsewhereInMs } = placed
    const place = poolPlace({ pool, prefill, decode, promptTokens, tokens })
    return this.tracked(ask, { ...place, readsInMs, readElsewhereInMs })
  }

  /** A place whose course the leader is told. */
  private tracked(ask: PlaceAsk, place: ModelPlace): ModelPlace {
    const { clock } = this.options
    const { request } = ask
    const decodingAt = place.prefill === undefined ? clock.now() : undefined
    const tracked: ModelPlace = {
      prefill: place.prefill,
      decode: place.decode,
      readsInMs: place.readsInMs,
      readElsewhereInMs: place.readElsewhereInMs,
      notePrefilled: (outcome, tookMs) => {
        hold.decodingAt = clock.now()
        place.notePrefilled(outcome, tookMs)
        this.options.way.notify(PLACE.prefilled, { request, outcome, tookMs: Math.round(tookMs) })
      },
      noteStalled: (forMs) => this.noteSilent(hold.decode, forMs),
      noteMoved: (to) => {
        place.noteMoved(to)
        tracked.decode = to
        hold.decode = to.endpoint.id
      },
      release: (outcome, tookMs, madeTokens) => {
        this.active.delete(request)
        place.release(outcome, tookMs, madeTokens)
        this.options.way.notify(PLACE.release, { request, decode: hold.decode, outcome, madeTokens })
      },
    }
    const prefill = place.prefill?.endpoint.id
    const decode = place.decode.endpoint.id
    const kept = { ...ask, avoid: undefined }
    const hold: Active = { ask: kept, prefill, decode, placedAt: clock.now(), decodingAt, place: tracked }
    this.active.set(request, hold)
    return tracked
  }

  private noteSilent(endpoint: string, forMs: Millis): void {
    const outcome: UseOutcome = 'silent'
    this.options.way.notify(PLACE.note, { endpoint, outcome, tookMs: Math.round(forMs) })
  }

  private reportIfDue(): void {
    const { clock, entry, way } = this.options
    const leader = way.leader()
    const isNew = leader !== this.reportedTo
    const everyMs = this.active.size > 0 ? REPORT_ACTIVE_MS : REPORT_IDLE_MS
    if (!isNew && clock.now() - this.reportedAt < everyMs) return
    this.reportedTo = leader
    this.reportedAt = clock.now()
    const holds = [...this.active.values()].map((one) => toReported(one, clock.now()))
    if (holds.length === 0) return way.notify(PLACE.report, { entry, holds })
    void way
      .askLeader<ReportAnswer | undefined>(PLACE.report, { entry, holds }, REPORT_ACTIVE_MS * 2)
      .then((answer) => this.move(answer?.moves ?? []))
  }

  /** Lets answers go on at other engines, as the leader wants. */
  private move(moves: AnswerMove[]): void {
    for (const { request, to } of moves) {
      const hold = this.active.get(request)
      const endpoint = hold && this.options.pool.atHome(to, hold.ask.regions)
      if (endpoint !== undefined) hold?.place.moveTo?.(endpoint)
    }
  }
}

/** An answer that has begun goes on under the sheet that it came under, though the newest has not its service any more. */
function isOfOlderSheet({ isBegun }: PlaceAsk, { reason }: { reason: string }): boolean {
  return isBegun === true && reason === UNKNOWN_SERVICE
}

/** A request that asks again, with the times that it has left. */
function laterBy(ask: PlaceAsk, passedMs: Millis): PlaceAsk {
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
  { ask, prefill, decode, placedAt, decodingAt, place }: Active,
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

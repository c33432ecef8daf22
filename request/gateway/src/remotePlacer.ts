import {
  PLACE,
  type PlaceAsk,
  type PlaceDecision,
  type Placed,
  type ReportedHold,
  type UseOutcome,
} from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Address, Millis } from '@forkstage/types'
import type { EndpointPool } from './endpointPool'
import type { LeaderWay } from './leaderWay'
import { waitFor } from './waitFor'
import type { ModelPlace, ModelPlacer, ModelWork, PlaceAnswer } from './modelPlacer'

/** Options of {@link RemotePlacer}. */
export interface RemotePlacerOptions {
  entry: string
  pool: EndpointPool
  /** Places while nobody can be asked. */
  fallback: ModelPlacer
  /** The way to the control machine that leads. */
  way: LeaderWay
  clock: Clock
  logger: Logger
}

interface Active {
  ask: PlaceAsk
  prefill?: string
  decode: string
  placedAt: Millis
  decodingAt?: Millis
}

/** Without a leader, one is waited for this share of the time in which a request hears of a refusal. */
const WAIT_FOR_LEADER_SHARE = 0.7
/** Added to the time a request may be held, for the way there and back. */
const ANSWER_SLACK_MS = 200
const REPORT_EVERY_MS = 1_000
const LOOK_EVERY_MS = 200

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
    const ask = this.toAsk(work)
    const decision = await this.ask(ask)
    if (decision?.type === 'refused') return decision
    if (decision !== undefined) {
      const place = this.toPlace(ask, decision)
      if (place !== undefined) return { type: 'place', place }
    }
    const answer = await this.options.fallback.place(work)
    if (answer.type === 'refused') return answer
    return { type: 'place', place: this.tracked(ask, answer.place) }
  }

  private async ask(ask: PlaceAsk): Promise<PlaceDecision | undefined> {
    const { way, logger, clock } = this.options
    // While a leader is being elected one comes in a moment.
    await waitFor(clock, Math.max(0, ask.promptMs) * WAIT_FOR_LEADER_SHARE, () => way.leader())
    try {
      return await way.call<PlaceDecision>(PLACE.ask, { ask }, ask.holdMs + ANSWER_SLACK_MS)
    } catch (error) {
      way.notify(PLACE.withdraw, { request: ask.request })
      logger.warn('place.alone', { request: ask.request, reason: toErrorBody(error).message })
      return undefined
    }
  }

  private toAsk(work: ModelWork): PlaceAsk {
    return { ...work, entry: this.options.entry, except: [...work.except] }
  }

  /** The place by its engines, or undefined where this entry does not know them yet. */
  private toPlace(ask: PlaceAsk, placed: Placed): ModelPlace | undefined {
    const { pool } = this.options
    const decode = pool.get(placed.decode)
    const prefill = placed.prefill === undefined ? undefined : pool.get(placed.prefill)
    const isUnknown = decode === undefined || (placed.prefill !== undefined && prefill === undefined)
    if (isUnknown) {
      this.options.way.notify(PLACE.withdraw, { request: ask.request })
      return undefined
    }
    const tokens = ask.promptTokens + Math.min(ask.mostTokens, ask.hintTokens ?? ask.mostTokens)
    pool.noteSent(decode, tokens)
    if (prefill !== undefined) pool.noteSent(prefill, ask.promptTokens)
    return this.tracked(ask, {
      prefill,
      decode,
      readsInMs: placed.readsInMs,
      notePrefilled: (outcome, tookMs) => {
        if (prefill !== undefined) pool.noteEnd(prefill, outcome, tookMs, ask.promptTokens)
      },
      noteStalled: () => undefined,
      release: (outcome, tookMs) => pool.noteEnd(decode, outcome, tookMs, tokens),
    })
  }

  /** A place whose course the leader is told. */
  private tracked(ask: PlaceAsk, place: ModelPlace): ModelPlace {
    const { clock } = this.options
    const { request } = ask
    const decode = place.decode.endpoint.id
    const decodingAt = place.prefill === undefined ? clock.now() : undefined
    const hold: Active = {
      ask,
      prefill: place.prefill?.endpoint.id,
      decode,
      placedAt: clock.now(),
      decodingAt,
    }
    this.active.set(request, hold)
    return {
      prefill: place.prefill,
      decode: place.decode,
      readsInMs: place.readsInMs,
      notePrefilled: (outcome, tookMs) => {
        hold.decodingAt = clock.now()
        place.notePrefilled(outcome, tookMs)
        this.options.way.notify(PLACE.prefilled, { request, outcome, tookMs: Math.round(tookMs) })
      },
      noteStalled: () =>
        this.options.way.notify(PLACE.note, { endpoint: decode, outcome: 'failed' satisfies UseOutcome }),
      release: (outcome, tookMs, madeTokens) => {
        this.active.delete(request)
        place.release(outcome, tookMs, madeTokens)
        this.options.way.notify(PLACE.release, { request, outcome, madeTokens })
      },
    }
  }

  private reportIfDue(): void {
    const { clock, entry, way } = this.options
    const leader = way.leader()
    const isNew = leader !== this.reportedTo
    if (!isNew && clock.now() - this.reportedAt < REPORT_EVERY_MS) return
    this.reportedTo = leader
    this.reportedAt = clock.now()
    const holds: ReportedHold[] = [...this.active.values()].map(({ placedAt, decodingAt, ...hold }) => ({
      ...hold,
      ageMs: clock.now() - placedAt,
      decodingForMs: decodingAt === undefined ? undefined : clock.now() - decodingAt,
    }))
    way.notify(PLACE.report, { entry, holds })
  }
}

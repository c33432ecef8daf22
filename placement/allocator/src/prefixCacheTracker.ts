import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, ReportedHold, UseOutcome } from './allocatorTypes'
import type { AnswerQuery, EngineFitness } from './engineFitness'
import type { EnginePace } from './enginePace'
import type { HoldRegistry } from './holdRegistry'
import { PrefixCacheIndex } from './prefixCacheIndex'
import { SLOW_FACTOR } from './peerPace'

/** Options of {@link PrefixCacheTracker}. */
export interface PrefixCacheTrackerOptions {
  endpoints: () => RegisteredEndpoint[]
  engine: (service: string) => EnginePool | undefined
  holds: HoldRegistry
  pace: EnginePace
  fitness: EngineFitness
}

/** The share of an engine's memory that running answers and kept parts fill before parts give way, as is believed. */
const MEMORY_SHARE = 0.9
/** A decode engine that keeps a prompt is preferred while its memory to come fills less than this share of it. */
const MAX_FILL_SHARE = 0.85
/** A reading that failed after this share of the time that it takes had most likely ended at the engine. */
const MIN_READ_TIME_SHARE = 0.9
/** Memory is looked through again after this time; answers grow by some hundred tokens meanwhile. */
const EVICT_INTERVAL_MS = 200
/** After these an engine has restarted, or may have. */
const RESTART_OUTCOMES = new Set<UseOutcome>(['unreachable', 'other-instance'])

/** What engines keep of prompts, followed through our own placings, and what of a prompt they need not read. */
export class PrefixCacheTracker {
  private readonly index = new PrefixCacheIndex()
  private evictedAt: Millis = -Infinity

  constructor(private readonly options: PrefixCacheTrackerOptions) {}

  /** How many tokens of a prompt an engine still has to read, as far as is known. */
  uncached({ parts, promptTokens }: PlaceAsk, { id, models }: RegisteredEndpoint): number {
    // Parts are kept apart by model, and placings name none.
    if (parts === undefined || models.length > 1) return promptTokens
    return Math.max(0, promptTokens - this.index.cachedTokens(id, parts))
  }

  /**
   * The decode engine that keeps the whole prompt, where it is well, reads nothing and has room to spare.
   * @param fitting engines into whose memory to come the request fits, the best one first.
   */
  decoderCaching<Engine extends RegisteredEndpoint>(
    query: AnswerQuery,
    fitting: Engine[],
    now: Millis,
  ): Engine | undefined {
    const { holds, fitness, pace } = this.options
    const { ask, engine } = query
    if (ask.parts === undefined) return undefined
    const limit = engine.kvTokens * MAX_FILL_SHARE
    const caching = fitting
      .filter((one) => this.uncached(ask, one) === 0 && holds.localPrefills.waitMs(one.id, now) === 0)
      .filter(({ id }) => pace.view(id, 'decode', now).slowness < SLOW_FACTOR)
      .filter(({ id }) => holds.peakWith(ask, id, limit, now) <= limit)
    const fitnessById = fitness.assessAll(query, caching, now)
    return caching.find(({ id }) => fitnessById.get(id) === 'good')
  }

  /** A prompt waits at a prefill engine: whatever comes after it there finds it read. */
  recordPlacement({ parts }: PlaceAsk, prefill: InstanceId): void {
    if (parts !== undefined) this.index.recordUse(prefill, parts)
  }

  /** A prefill step has ended, or failed; `cancelled` where it was given up here. */
  recordPrefill(hold: Hold, outcome: UseOutcome, tookMs: Millis, now: Millis): void {
    const { pace, holds } = this.options
    const { ask, prefill, isReadAlone, readTokens } = hold
    if (prefill === undefined || ask.parts === undefined) return
    const wholeMs = pace.prefillMs(ask.promptTokens)
    const latencyMs = isReadAlone === true ? pace.prefillLatencyMs() : 0
    const hasTakenFullTime =
      holds.prefillTimeMs(hold, tookMs, now) >= wholeMs * MIN_READ_TIME_SHARE + latencyMs
    const wasCached = readTokens !== undefined && readTokens <= ask.promptTokens / 2
    if (wasCached && hasTakenFullTime && isReadAlone === true) this.index.clear(prefill)
    const isRead = outcome === 'ok' || (outcome === 'failed' && hasTakenFullTime)
    if (isRead) this.index.recordUse(prefill, ask.parts)
    else if (!wasCached || outcome === 'failed') this.index.removeLastPart(prefill, ask.parts)
  }

  /** An answer has made tokens at an engine, which keeps its prompt. */
  recordDecode({ parts }: PlaceAsk, decode: InstanceId): void {
    if (parts !== undefined) this.index.recordUse(decode, parts)
  }

  /** Takes what an entry's running answers say of engines, also of those that an earlier leader placed. */
  applyReport(reported: ReportedHold[]): void {
    for (const { ask, decode, madeTokens = 0 } of reported) if (madeTokens > 0) this.recordDecode(ask, decode)
  }

  /** How a use of an engine ended may say that it has restarted. */
  recordUse(id: InstanceId, outcome: UseOutcome): void {
    if (RESTART_OUTCOMES.has(outcome)) this.index.clear(id)
  }

  /** An engine that changes its part is believed to keep nothing. */
  forget(id: InstanceId): void {
    this.index.clear(id)
  }

  /** Forgets engines that are gone or cold, and what others' memory must have pushed out. Called again and again. */
  evict(now: Millis): void {
    if (now - this.evictedAt < EVICT_INTERVAL_MS) return
    this.evictedAt = now
    const warm = this.options.endpoints().filter(({ coldMs = 0 }) => coldMs <= 0)
    this.index.keepOnly(new Set(warm.map(({ id }) => id)))
    for (const { id, service } of warm) this.trim(id, service)
  }

  private trim(id: InstanceId, service: string): void {
    const { engine, holds } = this.options
    const running = [...holds.holdsAt(id)]
    const held = running.reduce((sum, { ask, made }) => sum + ask.promptTokens + (made?.tokens ?? 0), 0)
    const inUse = new Set(running.flatMap(({ ask }) => (ask.parts ?? []).map((part) => part.id)))
    const memory = engine(service)?.kvTokens ?? 0
    this.index.trim(id, Math.max(0, memory * MEMORY_SHARE - held), inUse)
  }
}

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

/** Share of an engine's memory that running answers and cached parts are assumed to fill before parts are evicted. */
const MEMORY_SHARE = 0.9
/** A decode engine that has cached a prompt is preferred while its forecast peak is below this share of its memory. */
const MAX_FILL_SHARE = 0.85
/** A prefill that failed after this share of its expected time had most likely finished on the engine. */
const MIN_READ_TIME_SHARE = 0.9
/** Interval between evictions; answers grow by some hundred tokens meanwhile. */
const EVICT_INTERVAL_MS = 200
/** Outcomes after which an engine has restarted, or may have. */
const RESTART_OUTCOMES = new Set<UseOutcome>(['unreachable', 'other-instance'])

/** Tracks from our own placements which prompt parts engines have cached, and so need not prefill again. */
export class PrefixCacheTracker {
  private readonly index = new PrefixCacheIndex()
  private evictedAt: Millis = -Infinity

  constructor(private readonly options: PrefixCacheTrackerOptions) {}

  /** Returns how many tokens of a prompt an engine still has to prefill, as far as known. */
  uncached({ parts, promptTokens }: PlaceAsk, { id, models }: RegisteredEndpoint): number {
    // Caches are separate per model, and placement requests name no model.
    if (parts === undefined || models.length > 1) return promptTokens
    return Math.max(0, promptTokens - this.index.cachedTokens(id, parts))
  }

  /**
   * Returns a decode engine that has cached the whole prompt, is healthy, runs no prefill and has memory to spare.
   * @param fitting engines with memory for the request, the best one first.
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

  /** Records a prompt in a prefill engine's queue: prompts after it will find it cached. */
  recordPlacement({ parts }: PlaceAsk, prefill: InstanceId): void {
    if (parts !== undefined) this.index.recordUse(prefill, parts)
  }

  /** Records the end of a prefill step; `cancelled` if it was abandoned here. */
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

  /** Records that an engine generated tokens of an answer, so that it has cached the prompt. */
  recordDecode({ parts }: PlaceAsk, decode: InstanceId): void {
    if (parts !== undefined) this.index.recordUse(decode, parts)
  }

  /** Learns from the reports of running answers, including those that an earlier leader placed. */
  applyReport(reported: ReportedHold[]): void {
    for (const { ask, decode, madeTokens = 0 } of reported) if (madeTokens > 0) this.recordDecode(ask, decode)
  }

  /** Clears an engine's entries if the outcome of a use suggests that it has restarted. */
  recordUse(id: InstanceId, outcome: UseOutcome): void {
    if (RESTART_OUTCOMES.has(outcome)) this.index.clear(id)
  }

  /** Clears the entries of an engine that has restarted or changes its stage. */
  forget(id: InstanceId): void {
    this.index.clear(id)
  }

  /**
   * Removes engines that are gone or cold, and parts that must have been evicted for lack of memory. Called
   * periodically.
   */
  evict(now: Millis): void {
    if (now - this.evictedAt < EVICT_INTERVAL_MS) return
    this.evictedAt = now
    const warm = this.options.endpoints().filter(({ coldMs = 0 }) => coldMs <= 0)
    this.index.sweep(new Set(warm.map(({ id }) => id)))
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

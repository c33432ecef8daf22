import { newestPerAddress, type InstanceId, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import { withinHomes, type AtHome, type Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import { EngineDistance } from './engineDistance'
import type { EngineBudgets } from './engineBudgets'
import { EngineFitness } from './engineFitness'
import type { BarredEngines } from './barredEngines'
import type { EnginePace } from './enginePace'
import type { EngineSummary, EnginePick, EngineQuery } from './enginePick'
import type { HoldRegistry } from './holdRegistry'
import type { InstanceHealth } from './instanceHealth'
import { PrefixCacheTracker } from './prefixCacheTracker'
import { SLOW_FACTOR } from './peerPace'

export type { EngineSummary, EnginePick, EngineQuery } from './enginePick'

/** Options of {@link EngineChoice}. */
export interface EngineChoiceOptions {
  endpoints: () => RegisteredEndpoint[]
  topology: Topology
  barred: BarredEngines
  engine: (service: string) => EnginePool | undefined
  holds: HoldRegistry
  health: InstanceHealth
  pace: EnginePace
  isChanging: (id: InstanceId, now: Millis) => boolean
  /** What engines may get that bear only so much. */
  budgets: EngineBudgets
}

/** From the end of reading to the first event, with what the network takes: 23 to 46 ms seen (q10 to q90, two plays). */
export const STARTUP_MS = 60
/** A late request waits for a reading queue of so many prompts like its own, itself included: 500 ms at 95 ms a prompt. */
const MAX_LATE_PREFILLS = 5
/** It waits no longer behind others, so that after it a new one is still in time: 900 ms less two long readings of 300. */
const MAX_LATE_QUEUE_MS = 250
/** A decode engine reads at half the pace of a prefill engine (the platform's protocol says so). */
const LOCAL_PREFILL_FACTOR = 2
/** The share of its time that a decode engine may read beside prefill engines: a prompt of 190 ms each 0.7 s, as was tuned. */
const LOCAL_PREFILL_SHARE = 0.27
/** Reading is late from so many times the time it should take: it varies with what else the way carries. */
const PREFILL_LATE_FACTOR = 1.5
/** The end of a reading is foreseen only within this share of its time. */
const PREFILL_VARIATION = 0.25
/** A single pause that is foreseen must leave this share of the longest that is in time. */
const MAX_PAUSE_SHARE = 0.9
/** A cold engine is taken as if this share of its memory were held: warm ones bear the load until they hold as much more. */
const COLD_MEMORY_SHARE = 0.5
/** A cold prefill engine must be sooner by this many readings. */
const COLD_PENALTY_PREFILLS = 1
/** More than any peak: an engine whose answers come late is taken only where no other has room. */
const POOR_PACE_COST = 1e12

/** Engines that take part and do not change, by part and service, as read at one time for all waiting requests. */
interface AvailableEngines {
  at: Millis
  engines: Map<string, RegisteredEndpoint[]>
}

/** Chooses the engines of a request by the memory they will come to need and by what waits to be read. */
export class EngineChoice {
  /** When each decode engine last began to read a prompt itself. */
  private readonly localPrefillAt = new Map<InstanceId, Millis>()
  private availableCache: AvailableEngines = { at: -Infinity, engines: new Map() }
  /** What engines' paces mean for requests. */
  readonly fitness: EngineFitness
  /** What engines keep of prompts. */
  readonly cache: PrefixCacheTracker
  /** What ways between engines and entries count. */
  readonly distance: EngineDistance

  constructor(private readonly options: EngineChoiceOptions) {
    this.distance = new EngineDistance(options.topology)
    this.fitness = new EngineFitness(options)
    this.cache = new PrefixCacheTracker({ ...options, fitness: this.fitness })
  }

  /** Engines of a service that take part, whether they are sound or not. */
  usable(service: string, stage: Stage): RegisteredEndpoint[] {
    return this.registered(service, stage).filter((one) => !this.options.barred.has(one))
  }

  /** Whether a service has decode engines and every one must get nothing now. */
  isFullyBarred(service: string): boolean {
    const decoders = this.registered(service, 'decode')
    return decoders.length > 0 && decoders.every((one) => this.options.barred.has(one))
  }

  /** Engines of a service that take part, with those that must get nothing now. */
  registered(service: string, stage: Stage): RegisteredEndpoint[] {
    const { endpoints, health } = this.options
    const live = endpoints().filter((one) => one.service === service && !health.isGone(one.id))
    return newestPerAddress(live).filter((one) => one.stage === stage && one.state === 'ready')
  }

  /** What is known of engines is read anew at the next choice. */
  refresh(): void {
    this.availableCache.at = -Infinity
  }

  /** The engines for a request; undefined where it has to wait. */
  choose(query: EngineQuery, now: Millis): EnginePick | undefined {
    const prefillEngines = query.ask.isPrefilled ? [] : this.candidates(query.ask, 'prefill', now)
    const decoders = this.fittingDecoders(query, prefillEngines, now)
    const first = decoders[0]
    if (first === undefined) return undefined
    if (query.ask.isPrefilled) return { decode: first, readsInMs: 0, queuedMs: 0 }
    const caching = this.cache.decoderCaching(query, decoders, now)
    if (caching !== undefined) return { decode: caching, readsInMs: 0, queuedMs: 0, readTokens: 0 }
    const separate = this.pickPrefillEngine(query, first, prefillEngines, now)
    if (separate !== undefined && !this.fitness.isSlowPrefill(separate.prefill!.id, now)) return separate
    // A slow reader is used where no decode engine is sooner.
    const local = this.pickLocalPrefill(query, decoders, prefillEngines, now)
    if (separate === undefined || local === undefined) return separate ?? local
    return local.readsInMs < separate.readsInMs ? local : separate
  }

  /** What is believed of the engines that a request could use. */
  summarize(ask: PlaceAsk, now: Millis): EngineSummary {
    const { holds } = this.options
    const decoders = this.candidates(ask, 'decode', now)
    const prefillEngines = this.candidates(ask, 'prefill', now)
    const peaks = decoders.map(({ id }) => ({
      endpoint: id,
      peak: Math.round(holds.peakWith(ask, id, Infinity, now)),
      running: holds.countAt(id),
    }))
    const queues = prefillEngines.map(({ id }) => ({
      endpoint: id,
      queuedMs: Math.round(holds.prefillWaitMs(id, now)),
    }))
    return {
      decoders: decoders.length,
      readers: prefillEngines.length,
      roomiest: peaks.sort((left, right) => left.peak - right.peak)[0],
      soonest: queues.sort((left, right) => left.queuedMs - right.queuedMs)[0],
      slow: this.fitness.slowEngines({ decode: decoders, prefill: prefillEngines }, now),
      cold: this.options.budgets.summarize([...decoders, ...prefillEngines], now),
    }
  }

  /** Until a cold decode engine may take another request, where all are cold and none may now; else undefined. */
  coldWaitMs(ask: PlaceAsk, now: Millis): Millis | undefined {
    return this.options.budgets.waitMs(this.candidates(ask, 'decode', now), ask, now)
  }

  /** Notes that a decode engine begins to read a prompt itself. */
  recordLocalPrefill(id: InstanceId, now: Millis): void {
    this.localPrefillAt.set(id, now)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.localPrefillAt.keys()) if (!ids.has(id)) this.localPrefillAt.delete(id)
  }

  /** How long a decode engine takes to read a prompt, in milliseconds. */
  localPrefillMs(ask: PlaceAsk, now: Millis): Millis {
    return this.options.pace.typicalPrefillMs(ask.promptTokens, now) * LOCAL_PREFILL_FACTOR
  }

  /** Engines that may get the request now or in a moment; unsound ones only where no other decodes. */
  candidates(ask: PlaceAsk, stage: Stage, now: Millis): AtHome<RegisteredEndpoint>[] {
    // A reader whose answer was lost keeps the prompt: it answers at once.
    const mayRetry = (one: RegisteredEndpoint) => stage === 'prefill' && this.cache.uncached(ask, one) === 0
    const mayUse = (one: RegisteredEndpoint) =>
      ask.avoid?.includes(one.id) !== true && (!ask.except.includes(one.id) || mayRetry(one))
    const available = this.inRegions(ask, this.availableEngines(ask.service, stage, now)).filter(mayUse)
    const healthy = available.filter((one) => this.options.health.isHealthy(one.id, now))
    return healthy.length > 0 || stage === 'prefill' ? healthy : available
  }

  /** How many decode engines that take part lie in the regions of a request. */
  countInRegions(ask: PlaceAsk): number {
    return this.inRegions(ask, this.usable(ask.service, 'decode')).length
  }

  private inRegions(ask: PlaceAsk, engines: RegisteredEndpoint[]): AtHome<RegisteredEndpoint>[] {
    return withinHomes(this.options.topology, engines, ({ zone }) => zone, ask.regions)
  }

  /** Read once for all requests that look for a place at one time. */
  private availableEngines(service: string, stage: Stage, now: Millis): RegisteredEndpoint[] {
    if (this.availableCache.at !== now) this.availableCache = { at: now, engines: new Map() }
    const key = `${stage} ${service}`
    const known = this.availableCache.engines.get(key)
    if (known !== undefined) return known
    const available = this.usable(service, stage).filter((one) => !this.options.isChanging(one.id, now))
    this.availableCache.engines.set(key, available)
    return available
  }

  /** Decode engines into whose memory to come the request fits, the least filled for their pace first. */
  private fittingDecoders(
    query: EngineQuery,
    prefillEngines: RegisteredEndpoint[],
    now: Millis,
  ): AtHome<RegisteredEndpoint>[] {
    const { holds, health, budgets } = this.options
    const { ask, engine, memoryShare } = query
    const limit = engine.kvTokens * memoryShare
    const engines = this.candidates(ask, 'decode', now)
    const fitness = this.fitness.assessAll(query, engines, now)
    const isSlow = (id: InstanceId) => fitness.get(id) === 'slow'
    // One that can be in time rather waits for an engine that is well, and is late for certain at a slow one.
    const waitsForOthers = query.isInTime && !ask.isPrefilled && engines.some(({ id }) => !isSlow(id))
    const fitting = engines
      .filter(({ id }) => !health.isFull(id, now) && !(waitsForOthers && isSlow(id)))
      .filter((one) => budgets.mayDecode(one, ask, now))
      .map((endpoint) => ({ endpoint, count: holds.countAt(endpoint.id) }))
      .filter(({ endpoint, count }) => count < this.fitness.maxRunningAt(endpoint.id, engine, now))
      .map(({ endpoint: { id }, endpoint, count }) => ({
        endpoint,
        peak: count === 0 ? 0 : holds.peakWith(ask, id, limit, now),
        isGood: fitness.get(id) === 'good',
        slowness: this.fitness.slowness(id, now),
        isCold: budgets.isCold(id, now),
      }))
      .filter(({ peak }) => peak <= limit)
    const costOf = ({ endpoint, peak, isGood, slowness, isCold }: (typeof fitting)[number]) =>
      (isGood ? 0 : POOR_PACE_COST) +
      (isCold ? limit * COLD_MEMORY_SHARE : 0) +
      peak * slowness +
      this.distance.decodeCostTokens(ask, engine, endpoint, prefillEngines)
    // Worked out once for each: the way to the nearest reader looks at all of them.
    const ranked = fitting.map((one) => ({ endpoint: one.endpoint, cost: costOf(one) }))
    ranked.sort((left, right) => left.cost - right.cost)
    return ranked.map(({ endpoint }) => endpoint)
  }

  /** Engines that could go on with an answer that runs at another one: those that surely do well. */
  migrationTargets(ask: PlaceAsk, engine: EnginePool, now: Millis): AtHome<RegisteredEndpoint>[] {
    const { holds, health, pace, budgets } = this.options
    return this.candidates(ask, 'decode', now).filter(
      ({ id }) =>
        health.isHealthy(id, now) &&
        budgets.isUnlimited(id, now) &&
        !health.isFull(id, now) &&
        !pace.isUnproven(id, 'decode', now) &&
        pace.view(id, 'decode', now).slowness < SLOW_FACTOR &&
        holds.countAt(id) < engine.slots,
    )
  }

  /** How long an engine needs for some tokens of one answer. */
  decodingMs(tokens: number, decode: InstanceId, now: Millis): Millis {
    return tokens * this.options.pace.msPerToken(decode, now)
  }

  /** The prefill engine that comes to the prompt first, where that is soon enough. */
  private pickPrefillEngine(
    query: EngineQuery,
    decode: AtHome<RegisteredEndpoint>,
    prefillEngines: AtHome<RegisteredEndpoint>[],
    now: Millis,
  ): EnginePick | undefined {
    const { holds, health, pace, budgets } = this.options
    const { promptTokens } = query.ask
    const prompt = { promptTokens, prefillMs: pace.prefillMs(promptTokens), engine: query.engine }
    const uncached = (prefill: RegisteredEndpoint) => this.cache.uncached(query.ask, prefill)
    const waits = prefillEngines
      .filter((endpoint) => !health.isFull(endpoint.id, now) && budgets.mayRead(endpoint, now))
      .map((prefill) => ({
        prefill,
        queuedMs: holds.prefillWaitMs(prefill.id, now),
        prefillMs: pace.prefillMsAt(prefill.id, promptTokens, now),
        cachedMs: pace.prefillMsAt(prefill.id, promptTokens - uncached(prefill), now),
      }))
      .filter(({ prefill }) => !holds.isPrefilling(prefill.id) || !this.fitness.mustNotQueue(prefill.id, now))
    const costOf = ({ prefill, queuedMs, prefillMs, cachedMs }: (typeof waits)[number]) =>
      queuedMs +
      prefillMs -
      cachedMs +
      (budgets.isCold(prefill.id, now) ? pace.prefillMs(promptTokens) * COLD_PENALTY_PREFILLS : 0) +
      this.distance.prefillCostMs(prefill, decode, prompt)
    waits.sort((left, right) => costOf(left) - costOf(right))
    const soonest = waits[0]
    if (soonest === undefined) return undefined
    const { prefill, queuedMs, prefillMs } = soonest
    const readsInMs = queuedMs + prefillMs + pace.prefillLatencyMs()
    if (readsInMs > this.prefillLimitMs(query)) return undefined
    const readElsewhereInMs = this.retryPrefillWithinMs(query, readsInMs)
    return { decode, prefill, queuedMs, readsInMs, readElsewhereInMs, readTokens: uncached(prefill) }
  }

  /** Until when another engine could still read it in time; absent where this one, being well, may need longer. */
  private retryPrefillWithinMs({ ask, leftMs }: EngineQuery, readsInMs: Millis): Millis | undefined {
    const { pace } = this.options
    const maxMs = Math.floor(leftMs - STARTUP_MS - pace.prefillMs(ask.promptTokens) - pace.prefillLatencyMs())
    return maxMs >= readsInMs * PREFILL_LATE_FACTOR ? maxMs : undefined
  }

  /** The decode engine that reads the prompt itself, where it comes to it soon enough. */
  private pickLocalPrefill(
    query: EngineQuery,
    decoders: AtHome<RegisteredEndpoint>[],
    prefillEngines: AtHome<RegisteredEndpoint>[],
    now: Millis,
  ): EnginePick | undefined {
    const { holds, health } = this.options
    // Engines that have just refused are back in a moment, unless they do nothing else.
    const isAlone = prefillEngines.every(({ id }) => health.isBusy(id) || this.fitness.isSlowPrefill(id, now))
    if (!isAlone && (!query.isInTime || prefillEngines.every((endpoint) => health.isFull(endpoint.id, now))))
      return undefined
    const ownMs = this.localPrefillMs(query.ask, now)
    const picks = decoders
      .filter((endpoint) => isAlone || this.mayPrefillLocally(endpoint.id, ownMs, now))
      .map((decode) => ({ decode, queuedMs: holds.localPrefills.waitMs(decode.id, now) }))
      .filter(({ queuedMs }) => queuedMs + ownMs <= this.prefillLimitMs(query, ownMs))
      .filter(({ decode, queuedMs }) => !this.stallsAnswers(query, decode.id, queuedMs + ownMs, now))
    picks.sort((left, right) => left.queuedMs - right.queuedMs)
    const soonest = picks[0]
    return soonest === undefined ? undefined : { ...soonest, readsInMs: soonest.queuedMs + ownMs }
  }

  /**
   * Whether the answers that run at a decode engine would pause too long while it reads for so long: it makes one
   * token of each for a piece of the prompt, and an event takes several.
   */
  private stallsAnswers(query: EngineQuery, decode: InstanceId, prefillForMs: Millis, now: Millis): boolean {
    const { holds, pace } = this.options
    const { ask, engine } = query
    if (ask.pauseMs === undefined || holds.countAt(decode) === 0) return false
    const eventMs = pace.msPerToken(decode, now) * engine.tokensPerEvent
    // Answers have had no event since the last prompt that was read there, unless enough time has passed.
    const sinceLastMs = holds.localPrefills.sinceEndMs(decode, now)
    if (sinceLastMs < eventMs + this.localPrefillMs(ask, now) * PREFILL_VARIATION) return true
    return prefillForMs + eventMs > ask.pauseMs * MAX_PAUSE_SHARE
  }

  /**
   * By when the prompt must have been read.
   * @param aloneMs how long that takes where nothing waits before it, where that is not a prefill engine's time.
   */
  private prefillLimitMs({ ask, isInTime, leftMs }: EngineQuery, aloneMs?: Millis): Millis {
    const { pace } = this.options
    if (isInTime) return leftMs - STARTUP_MS
    const ownMs = aloneMs ?? pace.prefillMs(ask.promptTokens)
    const lateMs = Math.min(ownMs * MAX_LATE_PREFILLS, ownMs + MAX_LATE_QUEUE_MS) + pace.prefillLatencyMs()
    // Whose caller leaves before the first event is read in vain, and holds up others meanwhile.
    const patienceMs = (ask.patienceMs ?? Infinity) - (ask.targetMs - leftMs)
    return Math.min(lateMs, (patienceMs - STARTUP_MS) / PREFILL_LATE_FACTOR)
  }

  private mayPrefillLocally(id: InstanceId, ownMs: Millis, now: Millis): boolean {
    return now - (this.localPrefillAt.get(id) ?? -Infinity) >= ownMs / LOCAL_PREFILL_SHARE
  }
}

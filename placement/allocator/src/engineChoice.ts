import { newestPerAddress, type InstanceId, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import { withinRegions, type InRegion, type Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import { EngineDistance } from './engineDistance'
import type { EngineBudgets } from './engineBudgets'
import { EngineFitness } from './engineFitness'
import type { BarredEngines } from './barredEngines'
import type { EnginePace } from './enginePace'
import type { EnginePick, EngineQuery } from './enginePick'
import type { HoldRegistry } from './holdRegistry'
import type { InstanceHealth } from './instanceHealth'
import { isOfVersion } from './isOfVersion'
import { PrefixCacheTracker } from './prefixCacheTracker'
import { SLOW_FACTOR } from './peerPace'

export type { EnginePick, EngineQuery } from './enginePick'

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
  /** Limits of cold and of rate-limited engines. */
  budgets: EngineBudgets
}

/** From the end of the prefill to the first event, network included: 23 to 46 ms (10th to 90th percentile). */
export const STARTUP_MS = 60
/** A late request joins a queue of at most this many prompts like its own, itself included: 500 ms at 95 ms each. */
const MAX_LATE_PREFILLS = 5
/** Longest queueing of a late request, so that a new one is still in time: 900 ms less two prefills of 300 ms. */
const MAX_LATE_QUEUE_MS = 250
/** A decode engine prefills at half the pace of a prefill engine, as the platform's protocol states. */
const LOCAL_PREFILL_FACTOR = 2
/** Share of time that a decode engine may prefill beside prefill engines: a prompt of 190 ms each 0.7 s. */
const LOCAL_PREFILL_SHARE = 0.27
/** A prefill is late at this multiple of its expected time, which varies with the load of the network. */
const PREFILL_LATE_FACTOR = 1.5
/** The end of a prefill is predictable only to within this share of its duration. */
const PREFILL_VARIATION = 0.25
/** A predicted pause must stay within this share of the longest pause that is in time. */
const MAX_PAUSE_SHARE = 0.9
/** A cold engine ranks as if this share of its memory were in use: warm engines fill up by that much first. */
const COLD_MEMORY_SHARE = 0.5
/** A cold prefill engine must be earlier than a warm one by the time of this many prefills. */
const COLD_PENALTY_PREFILLS = 1
/** Higher than any peak: an engine that makes answers late is used only if no other has room. */
const POOR_PACE_COST = 1e12

/** Available engines by stage and service, computed once for all requests that are placed at one time. */
interface AvailableEngines {
  at: Millis
  engines: Map<string, RegisteredEndpoint[]>
}

/** Chooses the engines of a request by their forecast memory and their prefill queues. */
export class EngineChoice {
  /** When each decode engine last began a local prefill. */
  private readonly localPrefillAt = new Map<InstanceId, Millis>()
  private availableCache: AvailableEngines = { at: -Infinity, engines: new Map() }
  /** Assesses whether engines are fast enough for requests. */
  readonly fitness: EngineFitness
  /** Prompt parts that engines have cached. */
  readonly cache: PrefixCacheTracker
  /** Costs of the distances between engines and entries. */
  readonly distance: EngineDistance

  constructor(private readonly options: EngineChoiceOptions) {
    this.distance = new EngineDistance(options.topology)
    this.fitness = new EngineFitness(options)
    this.cache = new PrefixCacheTracker({ ...options, fitness: this.fitness })
  }

  /** Returns the ready engines of a service without barred ones, whether they are healthy or not. */
  usable(service: string, stage: Stage): RegisteredEndpoint[] {
    return this.registered(service, stage).filter((one) => !this.options.barred.has(one))
  }

  /** Whether a service has decode engines and all of them are barred. */
  isFullyBarred(service: string): boolean {
    const decoders = this.registered(service, 'decode')
    return decoders.length > 0 && decoders.every((one) => this.options.barred.has(one))
  }

  /** Returns the ready engines of a service, including barred ones. */
  registered(service: string, stage: Stage): RegisteredEndpoint[] {
    const { endpoints, health } = this.options
    const live = endpoints().filter((one) => one.service === service && !health.isReplaced(one.id))
    return newestPerAddress(live).filter((one) => one.stage === stage && one.state === 'ready')
  }

  /** Drops the cached lists of engines, so that the next choice reads them again. */
  refresh(): void {
    this.availableCache.at = -Infinity
  }

  /** Returns the engines for a request; undefined if it has to wait. */
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
    // A slow prefill engine is used only if no decode engine is earlier.
    const local = this.pickLocalPrefill(query, decoders, prefillEngines, now)
    if (separate === undefined || local === undefined) return separate ?? local
    return local.readsInMs < separate.readsInMs ? local : separate
  }

  /** Milliseconds until a decode engine may take a request; undefined unless all are cold and at their limit. */
  coldWaitMs(ask: PlaceAsk, now: Millis): Millis | undefined {
    return this.options.budgets.waitMs(this.candidates(ask, 'decode', now), ask, now)
  }

  /** Records that a decode engine begins a local prefill. */
  recordLocalPrefill(id: InstanceId, now: Millis): void {
    this.localPrefillAt.set(id, now)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.localPrefillAt.keys()) if (!ids.has(id)) this.localPrefillAt.delete(id)
  }

  /** Returns how long a local prefill takes on a decode engine, in milliseconds. */
  localPrefillMs(ask: PlaceAsk, now: Millis): Millis {
    return this.options.pace.typicalPrefillMs(ask.promptTokens, now) * LOCAL_PREFILL_FACTOR
  }

  /** Returns engines that may get the request; unhealthy ones only if no other decodes. */
  candidates(ask: PlaceAsk, stage: Stage, now: Millis): InRegion<RegisteredEndpoint>[] {
    // A prefill engine whose response was lost has cached the prompt and responds at once.
    const mayRetry = (one: RegisteredEndpoint) => stage === 'prefill' && this.cache.uncached(ask, one) === 0
    const mayUse = (one: RegisteredEndpoint) =>
      (stage === 'prefill' || isOfVersion(ask, one)) &&
      ask.avoid?.includes(one.id) !== true &&
      (!ask.except.includes(one.id) || mayRetry(one))
    const available = this.inRegions(ask, this.availableEngines(ask.service, stage, now)).filter(mayUse)
    const healthy = available.filter((one) => this.options.health.isHealthy(one.id, now))
    return healthy.length > 0 || stage === 'prefill' ? healthy : available
  }

  /** Returns how many usable decode engines lie in the regions of a request. */
  countInRegions(ask: PlaceAsk): number {
    return this.inRegions(ask, this.usable(ask.service, 'decode')).length
  }

  /**
   * Returns how many of those are of the version that began the stream of a request; without those that the request has
   * excluded for good, if other versions serve too and the answer has not begun.
   */
  countOfVersion(ask: PlaceAsk): number {
    const excluded =
      ask.isConfined === true && ask.isBegun !== true ? [...ask.except, ...(ask.avoid ?? [])] : []
    const mayContinue = (one: RegisteredEndpoint) => isOfVersion(ask, one) && !excluded.includes(one.id)
    return this.inRegions(ask, this.usable(ask.service, 'decode')).filter(mayContinue).length
  }

  /** Whether a decode engine of the version that began the stream of a request is registered. */
  hasVersion(ask: PlaceAsk): boolean {
    return this.registered(ask.service, 'decode').some((one) => isOfVersion(ask, one))
  }

  private inRegions(ask: PlaceAsk, engines: RegisteredEndpoint[]): InRegion<RegisteredEndpoint>[] {
    return withinRegions(this.options.topology, engines, ({ zone }) => zone, ask.regions)
  }

  /** Computed once for all requests that are placed at one time. */
  private availableEngines(service: string, stage: Stage, now: Millis): RegisteredEndpoint[] {
    if (this.availableCache.at !== now) this.availableCache = { at: now, engines: new Map() }
    const key = `${stage} ${service}`
    const known = this.availableCache.engines.get(key)
    if (known !== undefined) return known
    const available = this.usable(service, stage).filter((one) => !this.options.isChanging(one.id, now))
    this.availableCache.engines.set(key, available)
    return available
  }

  /** Returns decode engines with memory for the request, those least filled for their pace first. */
  private fittingDecoders(
    query: EngineQuery,
    prefillEngines: RegisteredEndpoint[],
    now: Millis,
  ): InRegion<RegisteredEndpoint>[] {
    const { holds, health, budgets } = this.options
    const { ask, engine, memoryShare } = query
    const limit = engine.kvTokens * memoryShare
    const engines = this.candidates(ask, 'decode', now)
    const fitness = this.fitness.assessAll(query, engines, now)
    const isSlow = (id: InstanceId) => fitness.get(id) === 'slow'
    // A request that can be in time waits for a healthy engine rather than being late on a slow one.
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
    // Computed once per engine, since the nearest prefill engine is searched among all of them.
    const ranked = fitting.map((one) => ({ endpoint: one.endpoint, cost: costOf(one) }))
    ranked.sort((left, right) => left.cost - right.cost)
    return ranked.map(({ endpoint }) => endpoint)
  }

  /** Returns engines that could continue an answer that runs elsewhere: only those known to be healthy and fast. */
  migrationTargets(ask: PlaceAsk, engine: EnginePool, now: Millis): InRegion<RegisteredEndpoint>[] {
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

  /** Returns how long an engine needs for some tokens of one answer, in milliseconds. */
  decodingMs(tokens: number, decode: InstanceId, now: Millis): Millis {
    return tokens * this.options.pace.msPerToken(decode, now)
  }

  /** Picks the prefill engine that finishes the prompt first; undefined if none is in time. */
  private pickPrefillEngine(
    query: EngineQuery,
    decode: InRegion<RegisteredEndpoint>,
    prefillEngines: InRegion<RegisteredEndpoint>[],
    now: Millis,
  ): EnginePick | undefined {
    const { holds, health, pace, budgets } = this.options
    const { promptTokens } = query.ask
    const prompt = { promptTokens, prefillMs: pace.prefillMs(promptTokens), engine: query.engine }
    const uncached = (prefill: RegisteredEndpoint) => this.cache.uncached(query.ask, prefill)
    const waits = prefillEngines
      .filter((endpoint) => !health.isFull(endpoint.id, now) && budgets.mayPrefill(endpoint, now))
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

  /** Time after which no other engine could be in time, in milliseconds; undefined if this one may need longer. */
  private retryPrefillWithinMs({ ask, leftMs }: EngineQuery, readsInMs: Millis): Millis | undefined {
    const { pace } = this.options
    const maxMs = Math.floor(leftMs - STARTUP_MS - pace.prefillMs(ask.promptTokens) - pace.prefillLatencyMs())
    return maxMs >= readsInMs * PREFILL_LATE_FACTOR ? maxMs : undefined
  }

  /** Picks the decode engine that prefills the prompt itself; undefined if none is in time. */
  private pickLocalPrefill(
    query: EngineQuery,
    decoders: InRegion<RegisteredEndpoint>[],
    prefillEngines: InRegion<RegisteredEndpoint>[],
    now: Millis,
  ): EnginePick | undefined {
    const { holds, health } = this.options
    // Prefill engines that have just refused are back in a moment, unless they refuse all the time.
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
   * Whether a local prefill would pause a decode engine's running answers for too long: per chunk of the prompt the
   * engine generates one token of each answer, and an event takes several.
   */
  private stallsAnswers(query: EngineQuery, decode: InstanceId, prefillForMs: Millis, now: Millis): boolean {
    const { holds, pace } = this.options
    const { ask, engine } = query
    if (ask.pauseMs === undefined || holds.countAt(decode) === 0) return false
    const eventMs = pace.msPerToken(decode, now) * engine.tokensPerEvent
    // Unless enough time has passed, answers have had no event since the last local prefill.
    const sinceLastMs = holds.localPrefills.sinceEndMs(decode, now)
    if (sinceLastMs < eventMs + this.localPrefillMs(ask, now) * PREFILL_VARIATION) return true
    return prefillForMs + eventMs > ask.pauseMs * MAX_PAUSE_SHARE
  }

  /**
   * Returns the time within which the prompt must be prefilled, in milliseconds.
   * @param aloneMs its duration without a queue; by default that of a prefill engine.
   */
  private prefillLimitMs({ ask, isInTime, leftMs }: EngineQuery, aloneMs?: Millis): Millis {
    const { pace } = this.options
    if (isInTime) return leftMs - STARTUP_MS
    const ownMs = aloneMs ?? pace.prefillMs(ask.promptTokens)
    const lateMs = Math.min(ownMs * MAX_LATE_PREFILLS, ownMs + MAX_LATE_QUEUE_MS) + pace.prefillLatencyMs()
    // A prefill for a caller that leaves before the first event is wasted and delays others.
    const patienceMs = (ask.patienceMs ?? Infinity) - (ask.targetMs - leftMs)
    return Math.min(lateMs, (patienceMs - STARTUP_MS) / PREFILL_LATE_FACTOR)
  }

  private mayPrefillLocally(id: InstanceId, ownMs: Millis, now: Millis): boolean {
    return now - (this.localPrefillAt.get(id) ?? -Infinity) >= ownMs / LOCAL_PREFILL_SHARE
  }
}

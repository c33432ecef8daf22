import type { Clock, Random } from '@forkstage/clock'
import { extraCallMs } from '@forkstage/allocator'
import { newestPerAddress, versionOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { AvailabilityTracker } from '@forkstage/statements'
import { Topology, withinRegions, type InRegion, type AllowedRegions } from '@forkstage/topology'
import type { FailureDomain, Millis } from '@forkstage/types'
import { ConcurrencyLimit } from './concurrencyLimit'
import type { CandidateQuery, PoolUnavailability } from './poolTypes'
import { acceptsWork, draining, type PooledEndpoint } from './pooledEndpoint'
import type { SendOutcome } from './sendOutcome'

const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 8_000
const FAILURES_TO_EJECT = 2
const MEAN_WEIGHT = 0.2
const INITIAL_MEAN_MS = 50
const MEAN_VALID_MS = 2_000

/** Options of {@link EndpointPool}. */
export interface EndpointPoolOptions {
  zone: string
  /** Which region each failure domain belongs to; no region is known where left out. */
  topology?: Topology
  /** Whether a registered endpoint must get no requests now; false for all where left out. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  clock: Clock
  random: Random
  logger: Logger
  /** What instances have announced to this entry about their availability; nothing where left out. */
  availability?: AvailabilityTracker
  /** Whether an instance is cold, that is slow for a while without being faulty; false for all where left out. */
  isCold?: (id: string) => boolean
}

/** The registered endpoints, with their load, failures and ejections as observed by this entry. */
export class EndpointPool {
  private readonly pooled = new Map<string, PooledEndpoint>()

  private readonly topology: Topology

  constructor(private readonly options: EndpointPoolOptions) {
    this.topology = options.topology ?? new Topology()
  }

  /** Applies changes of registered endpoints. */
  update(endpoints: RegisteredEndpoint[]): void {
    for (const endpoint of endpoints) this.updateOne(endpoint)
  }

  /** Number of known instances that accept work. */
  get size(): number {
    return [...this.pooled.values()].filter(acceptsWork).length
  }

  /** Number of known instances that this entry avoids after failures. */
  get ejectedCount(): number {
    const now = this.options.clock.now()
    return [...this.pooled.values()].filter((one) => one.ejectedUntil > now).length
  }

  get(id: string): PooledEndpoint | undefined {
    return this.pooled.get(id)
  }

  /** Returns an instance by its id; undefined where it is unknown or outside the regions. */
  getWithinRegions(id: string, regions: AllowedRegions): InRegion<PooledEndpoint> | undefined {
    const known = this.pooled.get(id)
    return withinRegions(
      this.topology,
      known === undefined ? [] : [known],
      ({ endpoint }) => endpoint.zone,
      regions,
    )[0]
  }

  /** Returns instances of a service that may get work now; ejected ones only where there are no others. */
  candidates(service: string, query: CandidateQuery = {}): InRegion<PooledEndpoint>[] {
    const now = this.options.clock.now()
    const available = this.matching(service, query).filter((one) => this.isAvailable(one))
    const healthy = available.filter((one) => one.ejectedUntil <= now)
    return healthy.length > 0 ? healthy : available
  }

  /** Whether a service has instances that accept work, even if they accept none from this entry now. */
  hasEndpoints(service: string, query: CandidateQuery = {}): boolean {
    return this.matching(service, query).length > 0
  }

  /** Whether an instance accepts requests from this entry now, by what it has announced. */
  isAvailable({ endpoint }: PooledEndpoint): boolean {
    return this.options.availability?.unavailability(endpoint.id) === undefined
  }

  /** Returns why and for how long no instance of a service accepts requests from this entry; undefined where one does. */
  unavailability(service: string, query: CandidateQuery = {}): PoolUnavailability | undefined {
    const { availability, clock, random } = this.options
    if (availability === undefined || availability.isEmpty) return undefined
    const bound = availability.earliestAvailable(
      this.matching(service, query).map(({ endpoint }) => endpoint.id),
    )
    if (bound === undefined) return undefined
    const leftMs = bound.untilMs - clock.now()
    return { reason: bound.reason, leftMs, retryAfterMs: leftMs + random() * RETURN_SPREAD_MS }
  }

  /** Returns the ids of a service's engines that accept no requests from this entry now. */
  unavailableEngines(service: string): string[] {
    const { availability } = this.options
    if (availability === undefined || availability.isEmpty) return []
    const ids = availability.unavailableIds
    return ids.filter((id) => {
      const endpoint = this.pooled.get(id)?.endpoint
      return endpoint?.stage !== undefined && endpoint.service === service
    })
  }

  private matching(service: string, query: CandidateQuery): InRegion<PooledEndpoint>[] {
    const { stage, except, regions, softwareVersion } = query
    const there = [...this.pooled.values()].filter(
      (one) => one.endpoint.service === service && !one.isReplaced,
    )
    const newest = new Set(newestPerAddress(there.map((one) => one.endpoint)))
    const matching = there.filter(
      (one) =>
        newest.has(one.endpoint) &&
        (stage === undefined || one.endpoint.stage === stage) &&
        (softwareVersion === undefined || versionOf(one.endpoint) === softwareVersion) &&
        acceptsWork(one) &&
        !this.isBarred(one) &&
        except?.has(one.endpoint.id) !== true,
    )
    return withinRegions(this.topology, matching, ({ endpoint }) => endpoint.zone, regions)
  }

  /** Whether a service has a decode engine of a software version that accepts work, also if it is barred. */
  hasVersion(service: string, softwareVersion: string): boolean {
    return this.decoders(service).some(({ endpoint }) => versionOf(endpoint) === softwareVersion)
  }

  /** Whether a service has one of another software version. */
  hasOtherVersion(service: string, softwareVersion: string): boolean {
    return this.decoders(service).some(({ endpoint }) => versionOf(endpoint) !== softwareVersion)
  }

  private decoders(service: string): PooledEndpoint[] {
    return [...this.pooled.values()].filter(
      (one) => one.endpoint.service === service && one.endpoint.stage === 'decode' && acceptsWork(one),
    )
  }

  /** Whether a service has instances that accept work, and all of them are barred. */
  isFullyBarred(service: string, stage?: Stage): boolean {
    const there = [...this.pooled.values()].filter(
      (one) =>
        one.endpoint.service === service && acceptsWork(one) && (!stage || one.endpoint.stage === stage),
    )
    return there.length > 0 && there.every((one) => this.isBarred(one))
  }

  /**
   * Returns the instance with the shortest expected wait; undefined where there are no candidates. Prefers this zone
   * among equals, and another region only where it is faster in spite of the distance.
   */
  leastLoaded<One extends PooledEndpoint>(candidates: One[]): One | undefined {
    const idle = this.similarIdle(candidates)
    if (idle.length > 1) return idle[Math.floor(this.options.random() * idle.length)]
    const fastest = Math.min(...candidates.map((one) => one.meanMs))
    const scored = candidates.map((one) => ({ one, score: this.score(one, fastest) }))
    scored.sort((left, right) => left.score - right.score)
    return scored[0]?.one
  }

  /**
   * Returns the nearest candidates that run nothing of this entry and whose answers take about as long as the fastest
   * one's. By the shortest wait alone a random difference of averages decides among them for seconds, at all entries
   * alike: of six that answer in 20 ms at 50 requests per second, the busiest then gets 2.2 times the average in 4 s
   * instead of 1.3 (`equalParts.test.ts`).
   */
  private similarIdle<One extends PooledEndpoint>(candidates: One[]): One[] {
    const nearest = Math.min(...candidates.map((one) => this.distanceCost(one)))
    const near = candidates.filter((one) => this.distanceCost(one) === nearest)
    const fastest = Math.min(...near.map((one) => one.meanMs))
    return near.filter((one) => one.inFlight === 0 && one.meanMs <= fastest * SIMILAR_MEAN_FACTOR)
  }

  /** Returns the distance of an endpoint as a cost: nearer endpoints have a lower one. */
  private distanceCost({ endpoint }: PooledEndpoint): number {
    const distance = this.topology.distance(this.options.zone, endpoint.zone)
    return (distance === 'same-domain' ? 0 : 1) + extraCallMs(distance)
  }

  /**
   * Returns the engine where this entry's requests hold the fewest tokens; undefined where there are no candidates.
   * @param otherRegionTokens tokens that are added for an engine in another region than `near`.
   */
  fewestTokens<One extends PooledEndpoint>(
    candidates: One[],
    otherRegionTokens = 0,
    near: FailureDomain = this.options.zone,
  ): One | undefined {
    const costOf = ({ endpoint }: PooledEndpoint) =>
      this.topology.distance(near, endpoint.zone) === 'other-region' ? otherRegionTokens : 0
    const scored = candidates.map((one) => ({ one, score: one.tokens + costOf(one) + this.options.random() }))
    scored.sort((left, right) => left.score - right.score)
    return scored[0]?.one
  }

  /** Records a request that is sent to an instance, with the tokens that it may come to hold there. */
  recordSend(one: PooledEndpoint, tokens = 0): void {
    one.inFlight += 1
    one.tokens += tokens
  }

  /** Records that a request continues at another instance. */
  recordMove(from: PooledEndpoint, to: PooledEndpoint, tokens: number): void {
    this.recordEnd(from, 'cancelled', 0, tokens)
    this.recordSend(to, tokens)
  }

  /** Records that an instance announced in an answer that it leaves. Lists may be older, or from a machine that does not know yet. */
  recordLeaving(one: PooledEndpoint): void {
    one.hasAnnouncedLeaving = true
    one.leavingSince ??= this.options.clock.now()
    one.endpoint = draining(one.endpoint)
  }

  /** Resets the learned pace of an instance that has turned cold, since it has restarted. */
  resetPace(id: string): void {
    const one = this.pooled.get(id)
    if (one === undefined) return
    one.meanMs = INITIAL_MEAN_MS
    one.limit = new ConcurrencyLimit(one.endpoint.slots)
  }

  /** Calls back when an instance's process is found to have ended. Returns a function that cancels this. */
  onEnded(one: PooledEndpoint, callback: (reason: string) => void): () => void {
    one.endListeners.add(callback)
    return () => void one.endListeners.delete(callback)
  }

  /** Records the outcome of a send. */
  recordEnd(one: PooledEndpoint, outcome: SendOutcome, tookMs: Millis, tokens = 0): void {
    one.inFlight -= 1
    one.tokens -= tokens
    const isCold = this.options.isCold?.(one.endpoint.id) === true
    if (outcome === 'ok') {
      one.failures = 0
      if (!isCold) one.meanMs += (tookMs - one.meanMs) * MEAN_WEIGHT
      one.answeredAt = this.options.clock.now()
    }
    if (outcome === 'other-instance') one.isReplaced = true
    // An instance that answered another request meanwhile was busy, not silent.
    if (outcome === 'silent' && !isCold && one.answeredAt < this.options.clock.now() - tookMs)
      this.recordFailure(one, outcome)
    const isFailure = outcome === 'failed' || outcome === 'unreachable'
    // A lost path says nothing about the endpoint, which may have crashed all the same.
    if (isFailure || outcome === 'no-path') one.lostAt = this.options.clock.now()
    if (isFailure) this.recordFailure(one, outcome)
  }

  private isBarred({ endpoint }: PooledEndpoint): boolean {
    return this.options.isBarred?.(endpoint) === true
  }

  private recordFailure(one: PooledEndpoint, reason: SendOutcome): void {
    one.failures += 1
    if (reason !== 'unreachable' && one.failures < FAILURES_TO_EJECT) return
    const forMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (one.failures - 1))
    one.ejectedUntil = this.options.clock.now() + forMs
    this.options.logger.warn('endpoint.ejected', { endpoint: one.endpoint.id, reason, forMs })
  }

  /** Returns the expected wait, with a distance penalty. Old averages are ignored, so that unused endpoints are tried. */
  private score(one: PooledEndpoint, fastest: Millis): number {
    const isOld = this.options.clock.now() - one.answeredAt > MEAN_VALID_MS
    const meanMs = isOld ? fastest : one.meanMs
    const wait = ((one.inFlight + 1) * meanMs) / Math.max(1, one.endpoint.slots)
    const distance = this.topology.distance(this.options.zone, one.endpoint.zone)
    const distanceFactor = distance === 'same-domain' ? 1 : OTHER_DOMAIN_FACTOR
    return wait * distanceFactor * (1 + this.options.random() * SCORE_JITTER) + extraCallMs(distance)
  }

  /** Removes an instance whose process has ended, and notifies its requests, which no process can answer. */
  private endInstance(id: string): void {
    const known = this.pooled.get(id)
    if (known === undefined) return
    this.pooled.delete(id)
    for (const listener of [...known.endListeners]) listener(RESTARTED)
  }

  private updateOne(endpoint: RegisteredEndpoint): void {
    const known = this.pooled.get(endpoint.id)
    if (endpoint.state === 'left') return void this.pooled.delete(endpoint.id)
    if (endpoint.state === 'ended') return this.endInstance(endpoint.id)
    // A process of another version runs under the id, so the one that was known has ended.
    if (known !== undefined && hasOtherVersion(known.endpoint, endpoint)) {
      this.endInstance(endpoint.id)
      return this.updateOne(endpoint)
    }
    if (known !== undefined) {
      if (endpoint.state === 'draining') known.leavingSince ??= this.options.clock.now()
      known.endpoint = known.hasAnnouncedLeaving ? draining(endpoint) : endpoint
      return
    }
    this.pooled.set(endpoint.id, {
      endpoint,
      inFlight: 0,
      tokens: 0,
      meanMs: INITIAL_MEAN_MS,
      answeredAt: -Infinity,
      failures: 0,
      lostAt: -Infinity,
      ejectedUntil: 0,
      limit: new ConcurrencyLimit(endpoint.slots),
      isReplaced: false,
      hasAnnouncedLeaving: false,
      endListeners: new Set(),
    })
  }
}

/** Retries of refused callers are spread over this time. */
const RETURN_SPREAD_MS: Millis = 1_000
const OTHER_DOMAIN_FACTOR = 1.2
/** One endpoint's average varies by this factor within seconds; at 1.5 the busiest got 1.8 times the average. */
const SIMILAR_MEAN_FACTOR = 2
const RESTARTED = 'the endpoint has started anew'
const SCORE_JITTER = 0.2

/** Whether an instance was registered again with another version; a record without one comes from an earlier build. */
function hasOtherVersion(known: RegisteredEndpoint, { softwareVersion }: RegisteredEndpoint): boolean {
  if (known.softwareVersion === undefined || softwareVersion === undefined) return false
  return known.softwareVersion !== softwareVersion
}

import type { Clock, Random } from '@forkstage/clock'
import { extraCallMs } from '@forkstage/allocator'
import { newestPerAddress, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { AvailabilityTracker } from '@forkstage/statements'
import { Topology, withinHomes, type AtHome, type Homes } from '@forkstage/topology'
import type { FailureDomain, Millis } from '@forkstage/types'
import { ConcurrencyLimit } from './concurrencyLimit'

/** What this entry has seen of one instance. */
export interface PooledEndpoint {
  endpoint: RegisteredEndpoint
  /** Requests that this entry has there now. */
  inFlight: number
  /** Tokens that this entry's requests there may come to hold. */
  tokens: number
  /** A moving mean of how long answers take, in milliseconds. */
  meanMs: Millis
  /** When an answer last came. */
  answeredAt: Millis
  /** Failures in a row. */
  failures: number
  /** Gets no work before this time. */
  ejectedUntil: Millis
  /** How many plain requests this entry keeps there at once. */
  limit: ConcurrencyLimit
  /** Whether another process was found at its address. */
  isReplaced: boolean
  /** When this entry heard that it leaves; absent until then. */
  leavingSince?: Millis
  /** Whether it has said so to this entry in an answer, which no list takes back. */
  hasAnnouncedLeaving: boolean
  /** What to call when its process turns out to have ended. */
  endListeners: Set<(reason: string) => void>
}

/**
 * How a sending ended, for what this entry believes of the instance. `silent`: it was given up here for want of an
 * answer in time.
 */
export type SendOutcome = 'ok' | 'failed' | 'silent' | 'unreachable' | 'other-instance' | 'full' | 'cancelled'

const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 8_000
const FAILURES_TO_EJECT = 2
const MEAN_WEIGHT = 0.2
const INITIAL_MEAN_MS = 50
const MEAN_VALID_MS = 2_000

/** Which instances of a service are looked for. */
export interface CandidateQuery {
  stage?: Stage
  /** Instances that are not to be chosen. */
  except?: ReadonlySet<string>
  /** The regions that they may lie in; any where left out. */
  regions?: Homes
}

/** All instances that a request could go to want nothing from here. */
export interface PoolUnavailability {
  reason: string
  /** Until the first of them may get a request. */
  leftMs: Millis
  /** When a caller should come back: callers return spread over a while. */
  retryAfterMs: Millis
}

/** Options of {@link EndpointPool}. */
export interface EndpointPoolOptions {
  zone: string
  /** Which region each failure domain belongs to; no region is known where left out. */
  topology?: Topology
  /** Whether an endpoint must get nothing now, though it is registered; none where left out. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  clock: Clock
  random: Random
  logger: Logger
  /** What instances have said to this entry that they want; nothing where left out. */
  statements?: AvailabilityTracker
  /** Whether an instance is cold: slow for a while, and no less well for that. */
  isCold?: (id: string) => boolean
}

/** The registered endpoints as this entry sees them: load, failures, who is out for a while. */
export class EndpointPool {
  private readonly pooled = new Map<string, PooledEndpoint>()

  private readonly topology: Topology

  constructor(private readonly options: EndpointPoolOptions) {
    this.topology = options.topology ?? new Topology()
  }

  /** Takes what is new of registered endpoints. */
  update(endpoints: RegisteredEndpoint[]): void {
    for (const endpoint of endpoints) this.updateOne(endpoint)
  }

  /** How many instances are known that take work. */
  get size(): number {
    return [...this.pooled.values()].filter(acceptsWork).length
  }

  get(id: string): PooledEndpoint | undefined {
    return this.pooled.get(id)
  }

  /** An instance by its id, where it lies in one of these regions. */
  getWithinRegions(id: string, regions: Homes): AtHome<PooledEndpoint> | undefined {
    const known = this.pooled.get(id)
    return withinHomes(
      this.topology,
      known === undefined ? [] : [known],
      ({ endpoint }) => endpoint.zone,
      regions,
    )[0]
  }

  /** Instances of a service that may get work now; those that are out only where there is no other. */
  candidates(service: string, query: CandidateQuery = {}): AtHome<PooledEndpoint>[] {
    const now = this.options.clock.now()
    const available = this.matching(service, query).filter((one) => this.isAvailable(one))
    const healthy = available.filter((one) => one.ejectedUntil <= now)
    return healthy.length > 0 ? healthy : available
  }

  /** Whether a service has instances that take work, also such as want none just now. */
  hasEndpoints(service: string, query: CandidateQuery = {}): boolean {
    return this.matching(service, query).length > 0
  }

  /** Whether an instance has not said that it wants nothing from here now. */
  isAvailable({ endpoint }: PooledEndpoint): boolean {
    return this.options.statements?.unavailability(endpoint.id) === undefined
  }

  /** Why a service's instances can get nothing where all want none from here, and for how long; else undefined. */
  unavailability(service: string, query: CandidateQuery = {}): PoolUnavailability | undefined {
    const { statements, clock, random } = this.options
    if (statements === undefined || statements.isEmpty) return undefined
    const bound = statements.earliestAvailable(
      this.matching(service, query).map(({ endpoint }) => endpoint.id),
    )
    if (bound === undefined) return undefined
    const leftMs = bound.untilMs - clock.now()
    return { reason: bound.reason, leftMs, retryAfterMs: leftMs + random() * RETURN_SPREAD_MS }
  }

  /** Engines of a service that want nothing from here now. */
  unavailableEngines(service: string): string[] {
    const { statements } = this.options
    if (statements === undefined || statements.isEmpty) return []
    const ids = statements.closed
    return ids.filter((id) => {
      const endpoint = this.pooled.get(id)?.endpoint
      return endpoint?.stage !== undefined && endpoint.service === service
    })
  }

  private matching(service: string, { stage, except, regions }: CandidateQuery): AtHome<PooledEndpoint>[] {
    const there = [...this.pooled.values()].filter(
      (one) => one.endpoint.service === service && !one.isReplaced,
    )
    const newest = new Set(newestPerAddress(there.map((one) => one.endpoint)))
    const matching = there.filter(
      (one) =>
        newest.has(one.endpoint) &&
        (stage === undefined || one.endpoint.stage === stage) &&
        acceptsWork(one) &&
        !this.isBarred(one) &&
        except?.has(one.endpoint.id) !== true,
    )
    return withinHomes(this.topology, matching, ({ endpoint }) => endpoint.zone, regions)
  }

  /** Whether a service has instances that take work and every one must get nothing now. */
  isFullyBarred(service: string, stage?: Stage): boolean {
    const there = [...this.pooled.values()].filter(
      (one) =>
        one.endpoint.service === service && acceptsWork(one) && (!stage || one.endpoint.stage === stage),
    )
    return there.length > 0 && there.every((one) => this.isBarred(one))
  }

  /** The instance with the least expected wait, one of this zone among equals, and of another region where that is sooner all the same. */
  leastLoaded<One extends PooledEndpoint>(candidates: One[]): One | undefined {
    const idle = this.similarIdle(candidates)
    if (idle.length > 1) return idle[Math.floor(this.options.random() * idle.length)]
    const fastest = Math.min(...candidates.map((one) => one.meanMs))
    const scored = candidates.map((one) => ({ one, score: this.score(one, fastest) }))
    scored.sort((left, right) => left.score - right.score)
    return scored[0]?.one
  }

  /**
   * Those of the nearest where nothing of this entry runs, and whose answers take about as long as the fastest's. By the
   * least wait alone a chance difference of means decides among them for seconds, at all entries alike: of six that answer
   * in 20 ms at 50 requests a second the busiest had 2.2 times the mean in 4 s, and has 1.3 (`equalParts.test.ts`).
   */
  private similarIdle<One extends PooledEndpoint>(candidates: One[]): One[] {
    const nearest = Math.min(...candidates.map((one) => this.distanceCost(one)))
    const near = candidates.filter((one) => this.distanceCost(one) === nearest)
    const fastest = Math.min(...near.map((one) => one.meanMs))
    return near.filter((one) => one.inFlight === 0 && one.meanMs <= fastest * SIMILAR_MEAN_FACTOR)
  }

  /** How far away an endpoint is, as a cost. */
  private distanceCost({ endpoint }: PooledEndpoint): number {
    const distance = this.topology.distance(this.options.zone, endpoint.zone)
    return (distance === 'same-domain' ? 0 : 1) + extraCallMs(distance)
  }

  /**
   * The engine where this entry's requests hold the fewest tokens.
   * @param otherRegionTokens what one in another region than `near` counts more.
   */
  fewestTokens<One extends PooledEndpoint>(
    candidates: One[],
    otherRegionTokens = 0,
    near: FailureDomain = this.options.zone,
  ): One | undefined {
    const awayOf = ({ endpoint }: PooledEndpoint) =>
      this.topology.distance(near, endpoint.zone) === 'other-region' ? otherRegionTokens : 0
    const scored = candidates.map((one) => ({ one, score: one.tokens + awayOf(one) + this.options.random() }))
    scored.sort((left, right) => left.score - right.score)
    return scored[0]?.one
  }

  /** Notes that a request goes to an instance, with the tokens it may come to hold there. */
  recordSend(one: PooledEndpoint, tokens = 0): void {
    one.inFlight += 1
    one.tokens += tokens
  }

  /** Notes that what one instance did goes on at another. */
  recordMove(from: PooledEndpoint, to: PooledEndpoint, tokens: number): void {
    this.recordEnd(from, 'cancelled', 0, tokens)
    this.recordSend(to, tokens)
  }

  /** An instance has said in an answer that it leaves: what lists say of it may be older, or come from who was not told. */
  recordLeaving(one: PooledEndpoint): void {
    one.hasAnnouncedLeaving = true
    one.leavingSince ??= this.options.clock.now()
    one.endpoint = draining(one.endpoint)
  }

  /** An instance has turned cold: it has started anew, and its pace is learned again. */
  resetPace(id: string): void {
    const one = this.pooled.get(id)
    if (one === undefined) return
    one.meanMs = INITIAL_MEAN_MS
    one.limit = new ConcurrencyLimit(one.endpoint.slots)
  }

  /** Calls back when an instance's process turns out to have ended, unless the returned function is called before. */
  onEnded(one: PooledEndpoint, callback: (reason: string) => void): () => void {
    one.endListeners.add(callback)
    return () => void one.endListeners.delete(callback)
  }

  /** Notes how a sending ended. */
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
    // One that answered another request meanwhile was not silent but busy.
    if (outcome === 'silent' && !isCold && one.answeredAt < this.options.clock.now() - tookMs)
      this.recordFailure(one, outcome)
    if (outcome === 'failed' || outcome === 'unreachable') this.recordFailure(one, outcome)
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

  /** What was seen long ago says little: an endpoint that was not used lately is tried again. */
  private score(one: PooledEndpoint, fastest: Millis): number {
    const isOld = this.options.clock.now() - one.answeredAt > MEAN_VALID_MS
    const meanMs = isOld ? fastest : one.meanMs
    const wait = ((one.inFlight + 1) * meanMs) / Math.max(1, one.endpoint.slots)
    const distance = this.topology.distance(this.options.zone, one.endpoint.zone)
    const away = distance === 'same-domain' ? 1 : OTHER_DOMAIN_FACTOR
    return wait * away * (1 + this.options.random() * SCORE_JITTER) + extraCallMs(distance)
  }

  /** What runs there is lost: nobody need wait for an answer that no process can give. */
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
      ejectedUntil: 0,
      limit: new ConcurrencyLimit(endpoint.slots),
      isReplaced: false,
      hasAnnouncedLeaving: false,
      endListeners: new Set(),
    })
  }
}

/** Callers that came in vain return spread over so long. */
const RETURN_SPREAD_MS: Millis = 1_000
const OTHER_DOMAIN_FACTOR = 1.2
/** Means of answers of one endpoint differ by so much over a second or two: at 1.5 the busiest had 1.8 times the mean. */
const SIMILAR_MEAN_FACTOR = 2
const RESTARTED = 'the endpoint has started anew'
const SCORE_JITTER = 0.2

function draining(endpoint: RegisteredEndpoint): RegisteredEndpoint {
  return endpoint.state === 'ready' ? { ...endpoint, state: 'draining' } : endpoint
}

function acceptsWork(one: PooledEndpoint): boolean {
  return one.endpoint.state === 'ready' && !one.isReplaced
}

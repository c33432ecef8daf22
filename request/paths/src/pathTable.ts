import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** Other boxes must have contradicted this many endpoints' failures before endpoints that were not tried are doubted. */
const CONTRADICTIONS_UNTIL_CUT = 2
/** Connects that take longer than this multiple of the usual time are doubted. */
const SLOW_FACTOR = 3
const MIN_SLOW_MS: Millis = 50
/** Assumed before the first connect; covers a round trip between regions. */
const INITIAL_CONNECT_MS: Millis = 50
/** A box that found no path fails connections at once for this time. */
const ISOLATED_MS: Millis = 250

/** A box whose links fail again so soon after they worked is flapping. */
const RELAPSE_MS: Millis = 2_000
/** How long a box counts as flapping after it has lost its links again. */
const FLAPPING_MS: Millis = 5_000
/** How long a flapping box's own link must work before it is used again. */
const STABLE_MS: Millis = 500

/** The last direct connection to an endpoint. */
interface DirectConnection {
  at: Millis
  tookMs: Millis
}

/** What a box has learned about its own links: which endpoints it reaches directly, and which only through others. */
export class PathTable {
  /** Endpoints that another box reaches and this one does not; since when probes reach it, if they do. */
  private readonly indirect = new Map<Address, Millis | undefined>()
  private readonly direct = new Map<Address, DirectConnection>()
  private directAt: Millis = -Infinity
  /** Endpoints found to be reached by others only, since this box last reached any directly. */
  private lostSinceDirect = 0
  private isolatedUntil: Millis = -Infinity
  private isWithoutPath = false
  private regainedAt: Millis = -Infinity
  private relapsedAt: Millis = -Infinity

  constructor(private readonly clock: Clock) {}

  /** Number of endpoints that only other boxes reach. */
  get indirectCount(): number {
    return this.indirect.size
  }

  /** Whether this box reached an endpoint when it last tried, directly or through another box. */
  get hasPath(): boolean {
    return !this.isWithoutPath
  }

  /** Whether connections fail without an attempt, because the last one found no path. */
  get isIsolated(): boolean {
    return this.clock.now() < this.isolatedUntil
  }

  /** Whether this box believes that its own links are down, also for endpoints that it has not tried. */
  get isCut(): boolean {
    return this.lostSinceDirect >= CONTRADICTIONS_UNTIL_CUT
  }

  /** When this box last reached any endpoint directly. */
  get lastDirectAt(): Millis {
    return this.directAt
  }

  /** Returns the endpoints that only other boxes reach. */
  indirectEndpoints(): Address[] {
    return [...this.indirect.keys()]
  }

  /** Returns the endpoints that this box has reached directly, the latest first. */
  directEndpoints(): Address[] {
    return [...this.direct].sort(([, left], [, right]) => right.at - left.at).map(([endpoint]) => endpoint)
  }

  isIndirect(endpoint: Address): boolean {
    return this.indirect.has(endpoint)
  }

  /** Whether another box is asked first. */
  prefersNeighbour(endpoint: Address): boolean {
    return this.isIndirect(endpoint) || this.isCut
  }

  /** Returns after which time a connect in progress is doubted. */
  slowAfterMs(endpoint: Address): Millis {
    return Math.max(MIN_SLOW_MS, (this.direct.get(endpoint)?.tookMs ?? INITIAL_CONNECT_MS) * SLOW_FACTOR)
  }

  /** Records a direct connection. Returns whether the endpoint was only reached through others before. */
  recordDirect(endpoint: Address, tookMs: Millis): boolean {
    this.recordReached(endpoint, tookMs)
    this.lostSinceDirect = 0
    this.recordPath()
    const wasIndirect = this.indirect.delete(endpoint)
    if (wasIndirect) this.regainedAt = this.clock.now()
    return wasIndirect
  }

  /**
   * Records a bare direct connection that carries no request. Returns whether the endpoint is used directly again: at once,
   * or after a while if the links are flapping.
   */
  recordProbed(endpoint: Address, tookMs: Millis): boolean {
    if (!this.indirect.has(endpoint)) {
      this.recordDirect(endpoint, tookMs)
      return false
    }
    const now = this.clock.now()
    const since = this.indirect.get(endpoint) ?? now
    this.indirect.set(endpoint, since)
    if (now - this.relapsedAt >= FLAPPING_MS || now - since >= STABLE_MS)
      return this.recordDirect(endpoint, tookMs)
    this.recordReached(endpoint, tookMs)
    return false
  }

  /** Records that a probe did not reach an endpoint directly. */
  recordProbeFailed(endpoint: Address): void {
    if (this.indirect.has(endpoint)) this.indirect.set(endpoint, undefined)
  }

  /** Records that another box reached an endpoint that this one did not. Returns whether that is new. */
  recordIndirect(endpoint: Address): boolean {
    this.recordPath()
    if (this.indirect.has(endpoint)) return false
    const now = this.clock.now()
    if (now - this.regainedAt < RELAPSE_MS) this.relapsedAt = now
    this.indirect.set(endpoint, undefined)
    this.lostSinceDirect += 1
    return true
  }

  /** Records that a box with working links found that an endpoint refuses connections: no path leads to it. */
  recordRefused(endpoint: Address): void {
    this.indirect.delete(endpoint)
  }

  /** Records that neither this box nor another one reached an endpoint. */
  recordIsolated(): void {
    this.isWithoutPath = true
    this.isolatedUntil = this.clock.now() + ISOLATED_MS
  }

  /** Forgets endpoints that are not registered any more. */
  retain(isRegistered: (endpoint: Address) => boolean): void {
    for (const known of [this.indirect, this.direct])
      for (const endpoint of known.keys()) if (!isRegistered(endpoint)) known.delete(endpoint)
  }

  private recordReached(endpoint: Address, tookMs: Millis): void {
    this.directAt = this.clock.now()
    this.direct.set(endpoint, { at: this.directAt, tookMs })
  }

  private recordPath(): void {
    this.isWithoutPath = false
    this.isolatedUntil = -Infinity
  }
}

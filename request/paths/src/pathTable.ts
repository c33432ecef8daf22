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

/** What a box has learned about its own links: which endpoints it reaches directly, and which only through others. */
export class PathTable {
  /** Endpoints that another box reaches and this one does not. */
  private readonly indirect = new Set<Address>()
  /** Duration of the last direct connect, by endpoint. */
  private readonly connectMs = new Map<Address, Millis>()
  private directAt: Millis = -Infinity
  /** Endpoints found to be reached by others only, since this box last reached any directly. */
  private lostSinceDirect = 0
  private isolatedUntil: Millis = -Infinity
  private isWithoutPath = false

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

  /** Returns the endpoints that only other boxes reach. */
  indirectEndpoints(): Address[] {
    return [...this.indirect]
  }

  /** When this box last reached any endpoint directly. */
  get lastDirectAt(): Millis {
    return this.directAt
  }

  isIndirect(endpoint: Address): boolean {
    return this.indirect.has(endpoint)
  }

  /**
   * Whether another box is asked first: for endpoints that only others reach and, since this box lost several of them and
   * reached none since, for all others too.
   */
  prefersNeighbour(endpoint: Address): boolean {
    return this.isIndirect(endpoint) || this.lostSinceDirect >= CONTRADICTIONS_UNTIL_CUT
  }

  /** Returns after which time a connect in progress is doubted. */
  slowAfterMs(endpoint: Address): Millis {
    return Math.max(MIN_SLOW_MS, (this.connectMs.get(endpoint) ?? INITIAL_CONNECT_MS) * SLOW_FACTOR)
  }

  /** Records a direct connection. Returns whether the endpoint was only reached through others before. */
  recordDirect(endpoint: Address, tookMs: Millis): boolean {
    this.connectMs.set(endpoint, tookMs)
    this.directAt = this.clock.now()
    this.lostSinceDirect = 0
    this.recordPath()
    return this.indirect.delete(endpoint)
  }

  /** Records that another box reached an endpoint that this one did not. Returns whether that is new. */
  recordIndirect(endpoint: Address): boolean {
    this.recordPath()
    if (this.indirect.has(endpoint)) return false
    this.indirect.add(endpoint)
    this.lostSinceDirect += 1
    return true
  }

  /** Records that neither this box nor another one reached an endpoint. */
  recordIsolated(): void {
    this.isWithoutPath = true
    this.isolatedUntil = this.clock.now() + ISOLATED_MS
  }

  /** Forgets endpoints that are not registered any more. */
  retain(isRegistered: (endpoint: Address) => boolean): void {
    for (const endpoint of this.indirect) if (!isRegistered(endpoint)) this.indirect.delete(endpoint)
    for (const endpoint of this.connectMs.keys()) if (!isRegistered(endpoint)) this.connectMs.delete(endpoint)
  }

  private recordPath(): void {
    this.isWithoutPath = false
    this.isolatedUntil = -Infinity
  }
}

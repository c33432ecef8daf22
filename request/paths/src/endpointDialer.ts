import type { CancelTimer, Clock, Random } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Address, Millis } from '@forkstage/types'
import { NeighbourSelector } from './neighbourSelector'
import { PathTable } from './pathTable'
import type {
  CarriedConnectResult,
  Connect,
  ConnectResult,
  Dial,
  PendingConnect,
  TunnelResult,
} from './pathTypes'
import { DialAttempt } from './dialAttempt'
import { openThroughNeighbours, type Tunnel } from './openThroughNeighbours'

/** Options of {@link EndpointDialer}. */
export interface EndpointDialerOptions {
  connect: Connect
  tunnel: Tunnel
  /** Returns the other boxes that may carry connections. */
  neighbours: () => Address[]
  /** Returns the addresses of the registered endpoints. */
  endpoints: () => Address[]
  /** Called with the time that each direct connection took to open. */
  onConnected?: (endpoint: Address, tookMs: Millis) => void
  /** Called with the time that a direct attempt went without an answer. */
  onUnanswered?: (tookMs: Millis) => void
  /** Returns the delay that this box adds by itself to each connect, by a full link or a busy event loop; none if absent. */
  ownDelayMs?: () => Millis
  clock: Clock
  random: Random
  logger: Logger
}

/** How often endpoints that only others reach are tried directly, and how many at once. */
const PROBE_EVERY_MS: Millis = 250
const MAX_PROBES = 4
const PROBE_TIMEOUT_MS: Millis = 200
/** A third of the endpoints at a time, so that each is tried within a second. */
const PROBE_SHARE = 1 / 3
/** Other endpoints tried at a time, and in all, to tell whether this box's links work. */
const CHECKED_AT_ONCE = 2
const MAX_CHECKED = 4
const CHECK_TIMEOUT_MS: Millis = 50
const MAX_OWN_DELAY_MS: Millis = 15
/** A delay varies by about so much between connects. */
const OWN_DELAY_FACTOR = 2
const LINKS_DOWN: CarriedConnectResult = { type: 'unavailable', reason: 'the links of this box are down' }

/** Opens connections to endpoints, directly or through another box, and tells failures of endpoints from those of own links. */
export class EndpointDialer {
  readonly paths: PathTable
  private readonly neighbours: NeighbourSelector
  private cancelProbes: CancelTimer | undefined
  private nextProbe = 0
  private linkCheck: Promise<boolean> | undefined
  /** Attempts through another box beside a slow direct one, by endpoint; one at a time for each. */
  private readonly besides = new Map<Address, Promise<unknown>>()
  private isStopped = false
  private readonly indirectListeners = new Map<Address, Set<() => void>>()

  constructor(private readonly options: EndpointDialerOptions) {
    this.paths = new PathTable(options.clock)
    this.neighbours = new NeighbourSelector(options)
  }

  /** Opens a connection to an endpoint. */
  readonly dial = (endpoint: Address, timeoutMs: Millis): Dial => {
    const attempt = new DialAttempt(this, endpoint, timeoutMs)
    return { result: attempt.run(), cancel: () => attempt.cancel() }
  }

  /** Returns whether a process listens at an endpoint, as far as this box or another one can tell. */
  async probe(endpoint: Address): Promise<'listens' | 'refused' | 'silent'> {
    const result = await this.dial(endpoint, PROBE_TIMEOUT_MS).result
    if (result.type !== 'connected') return result.type === 'refused' ? 'refused' : 'silent'
    result.socket.on('error', () => undefined).destroy()
    return 'listens'
  }

  /**
   * Whether an exchange that broke off was lost on the way rather than by its endpoint. `via`: the box that carried it.
   * Through another box only a refusing endpoint is blamed, since that box may have failed.
   */
  async isPathLoss(endpoint: Address, via?: Address): Promise<boolean> {
    if (via === undefined && this.paths.isIndirect(endpoint)) return true
    const result = await this.dial(endpoint, PROBE_TIMEOUT_MS).result
    if (result.type !== 'connected') return result.type === 'no-path'
    result.socket.on('error', () => undefined).destroy()
    return via !== undefined || result.via !== undefined
  }

  /** Calls back when an endpoint is found to be reached only through others. Returns a function that cancels this. */
  onIndirect(endpoint: Address, callback: () => void): () => void {
    const listeners = this.indirectListeners.get(endpoint) ?? new Set()
    this.indirectListeners.set(endpoint, listeners.add(callback))
    return () => {
      listeners.delete(callback)
      if (listeners.size === 0 && this.indirectListeners.get(endpoint) === listeners)
        this.indirectListeners.delete(endpoint)
    }
  }

  /** Connects directly on behalf of another box; `refused` and `silent` only if other endpoints can be reached. */
  async dialForPeer(endpoint: Address, timeoutMs: Millis): Promise<CarriedConnectResult> {
    if (this.paths.isCut || this.paths.isIsolated) return LINKS_DOWN
    const startedAt = this.clock.now()
    const result = await this.connectDirectly(endpoint, timeoutMs).result
    if (result.type === 'connected') return result
    if (await this.areLinksDown(endpoint, startedAt)) return LINKS_DOWN
    return this.paths.isIndirect(endpoint) ? { type: 'indirect', reason: result.reason } : result
  }

  /** Forgets endpoints that are not registered any more. */
  sweep(): void {
    const registered = new Set(this.options.endpoints())
    this.paths.retain((endpoint) => registered.has(endpoint))
  }

  stop(): void {
    this.isStopped = true
    this.cancelProbes?.()
  }

  /** Starts a direct attempt and records a connection. */
  connectDirectly(endpoint: Address, timeoutMs: Millis): PendingConnect<ConnectResult> {
    const { connect, clock } = this.options
    const startedAt = clock.now()
    const attempt = connect(endpoint, timeoutMs)
    const result = attempt.result.then((one) => {
      const tookMs = clock.now() - startedAt
      // An attempt that was cancelled earlier says nothing.
      if (one.type === 'silent' && tookMs >= timeoutMs) this.options.onUnanswered?.(tookMs)
      if (one.type !== 'connected') return one
      this.options.onConnected?.(endpoint, tookMs)
      if (this.paths.recordDirect(endpoint, tookMs)) this.logDirect(endpoint)
      return one
    })
    return { result, cancel: attempt.cancel }
  }

  /** Returns the attempt that tells whether a slow endpoint is reached by others, if one is in progress. */
  besideInProgress(endpoint: Address): Promise<unknown> | undefined {
    return this.besides.get(endpoint)
  }

  /** Asks other boxes beside a direct attempt. */
  connectBeside(endpoint: Address): PendingConnect<TunnelResult> {
    const attempt = this.connectThroughNeighbour(endpoint)
    this.besides.set(endpoint, attempt.result)
    void attempt.result.then(() => this.besides.delete(endpoint))
    return attempt
  }

  connectThroughNeighbour(endpoint: Address): PendingConnect<TunnelResult> {
    const { tunnel, clock } = this.options
    const attempt = openThroughNeighbours(endpoint, { tunnel, neighbours: this.neighbours, clock })
    const result = attempt.result.then((one) => {
      if (one.type !== 'connected' || one.via === undefined) return one
      const { via } = one
      this.neighbours.recordOpened(via)
      one.socket.once('close', () => this.neighbours.recordClosed(via))
      return one
    })
    return { result, cancel: attempt.cancel }
  }

  /** Records that neither this box nor another one reaches an endpoint. */
  recordIsolated(reason: string): void {
    if (this.paths.hasPath) this.options.logger.warn('path.none', { reason })
    this.paths.recordIsolated()
    this.startProbes()
  }

  /** Records that another box reaches an endpoint that this one does not, and tries it directly from now on. */
  recordIndirect(endpoint: Address, via: Address, reason: string): void {
    const isNew = this.paths.recordIndirect(endpoint)
    this.startProbes()
    if (!isNew) return
    this.options.logger.warn('path.indirect', { endpoint, via, reason })
    for (const listener of [...(this.indirectListeners.get(endpoint) ?? [])]) listener()
  }

  /** Whether this box delays its connects so much by itself that a late one says nothing about its endpoint. */
  get isDelayed(): boolean {
    return (this.options.ownDelayMs?.() ?? 0) > MAX_OWN_DELAY_MS
  }

  /** Returns after which time a connect in progress is doubted. */
  slowAfterMs(endpoint: Address): Millis {
    return this.paths.slowAfterMs(endpoint) + (this.options.ownDelayMs?.() ?? 0) * OWN_DELAY_FACTOR
  }

  get hasNeighbours(): boolean {
    return this.neighbours.hasNeighbours
  }

  get clock(): Clock {
    return this.options.clock
  }

  /**
   * Whether this box's own links are down, judged by other endpoints: false where one has been reached since an attempt
   * that failed began or is reached now, or where there is no other endpoint.
   */
  async areLinksDown(endpoint: Address, since: Millis): Promise<boolean> {
    if (this.paths.lastDirectAt > since) return false
    this.linkCheck ??= this.checkLinks(endpoint).finally(() => (this.linkCheck = undefined))
    return this.linkCheck
  }

  /** Endpoints reached lately are tried first, since others may be dead. */
  private async checkLinks(except: Address): Promise<boolean> {
    const reached = this.paths.directEndpoints()
    const known = [...new Set([...reached, ...this.options.endpoints()])]
    const others = known.filter((one) => one !== except).slice(0, MAX_CHECKED)
    for (let start = 0; start < others.length; start += CHECKED_AT_ONCE) {
      const tried = others.slice(start, start + CHECKED_AT_ONCE)
      const results = await Promise.all(tried.map((one) => this.tryDirectly(one, CHECK_TIMEOUT_MS)))
      if (results.includes(true)) return false
    }
    return others.length > 0
  }

  /** Returns whether a bare connection to an endpoint opens. */
  private async tryDirectly(endpoint: Address, timeoutMs: Millis): Promise<boolean> {
    const { connect, clock } = this.options
    const startedAt = clock.now()
    const result = await connect(endpoint, timeoutMs).result
    if (result.type !== 'connected') {
      this.paths.recordProbeFailed(endpoint)
      return false
    }
    result.socket.on('error', () => undefined).destroy()
    if (this.paths.recordProbed(endpoint, clock.now() - startedAt)) this.logDirect(endpoint)
    return true
  }

  private logDirect(endpoint: Address): void {
    this.options.logger.info('path.direct', { endpoint, left: this.paths.indirectCount })
  }

  private startProbes(): void {
    if (this.cancelProbes !== undefined || this.isStopped) return
    this.cancelProbes = this.options.clock.after(PROBE_EVERY_MS, () => void this.runProbes())
  }

  private async runProbes(): Promise<void> {
    try {
      await this.probeIndirect()
    } finally {
      this.cancelProbes = undefined
      if (this.paths.indirectCount > 0 || !this.paths.hasPath) this.startProbes()
    }
  }

  /** Tries some endpoints that only others reach; after a connection the others follow at once, one after the other. */
  private async probeIndirect(): Promise<void> {
    const indirect = this.paths.indirectEndpoints()
    const count = Math.min(MAX_PROBES, Math.ceil(indirect.length * PROBE_SHARE))
    const start = this.nextProbe % Math.max(1, indirect.length)
    this.nextProbe = start + count
    const chosen = [...indirect.slice(start), ...indirect.slice(0, start)]
    const results = await Promise.all(
      chosen.slice(0, count).map((one) => this.tryDirectly(one, PROBE_TIMEOUT_MS)),
    )
    if (results.includes(true))
      for (const one of chosen.slice(count)) if (!(await this.tryDirectly(one, PROBE_TIMEOUT_MS))) break
    if (!this.paths.hasPath) await this.probeAny()
  }

  private async probeAny(): Promise<void> {
    const endpoints = this.options.endpoints()
    const one = endpoints[Math.floor(this.options.random() * endpoints.length)]
    if (one !== undefined) await this.probe(one)
  }
}

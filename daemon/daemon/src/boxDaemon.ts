import type { Server } from 'node:http'
import type { Container } from 'inversify'
import { PendingResponses } from '@forkstage/answers'
import { createCallerApp } from '@forkstage/caller-api'
import { delay, every, type CancelTimer } from '@forkstage/clock'
import { createOperatorApp } from '@forkstage/operator-api'
import { OrderSender, type OrderRequest } from '@forkstage/orders'
import { startPeerServer, type PeerMethod, type PeerServer } from '@forkstage/peer-rpc'
import { startPlatformWatcher } from '@forkstage/platform'
import type { Settings } from '@forkstage/settings'
import { TABLE_CHANGED } from './boxGroups'
import { buildContainer } from './buildContainer'
import { listenHttp } from './listenHttp'
import { FLEET } from './fleetPart'
import { PARTS } from './parts'
import { VERSION } from '@forkstage/version'

const WATCH_READY_MS = 100
const READ_PLATFORM_EVERY_MS = 1_000
const ORDER_TIMEOUT_MS = 3_000
const DRAIN_CHECK_MS = 50
/** After the last stream has ended, its outcome still goes to the journal. */
const SETTLE_MS = 300

/** One box: everything that `forkstage run` starts and stops. */
export class BoxDaemon {
  private readonly parts: Container
  private readonly timers: CancelTimer[] = []
  private servers: Server[] = []
  /** Answers to callers that have not left yet. */
  private answers: PendingResponses | undefined
  private peerServer: PeerServer | undefined
  private stopping: Promise<number> | undefined
  private markStopped: (cut: number) => void = () => undefined
  /** Resolves with the number of requests cut short once the box has stopped. */
  readonly stopped = new Promise<number>((resolve) => (this.markStopped = resolve))
  private cutShort = false
  private wasReady = false

  constructor(private readonly settings: Settings) {
    this.parts = buildContainer(settings, () => void this.stop('an operator asked for it'))
  }

  async start(): Promise<void> {
    const { parts, settings } = this
    this.peerServer = await startPeerServer({
      address: settings.listen.peers,
      sharedKey: settings.peers.shared_key,
      tls: settings.peers.tls,
      methods: this.peerMethods(),
      logger: parts.get(PARTS.logger),
    })
    const operators = createOperatorApp({ settings, service: parts.get(FLEET) })
    const callers = this.createCallers()
    const forOperators = await listenHttp(operators, settings.listen.operators)
    const forCallers = await listenHttp(callers, settings.listen.callers)
    this.answers = new PendingResponses(forCallers)
    this.servers = [forOperators, forCallers]
    parts.get(PARTS.groups).start()
    parts.get(PARTS.follower).start()
    parts.get(PARTS.ownerService).start()
    parts.get(PARTS.credits).start()
    parts.get(PARTS.state).phase = 'serving'
    this.startTimers()
    parts
      .get(PARTS.logger)
      .info('box.started', { box: settings.box.name, addresses: settings.listen, version: VERSION })
  }

  /**
   * Stops as planned: unready first, still serving what the balancer sends; then no new work, until
   * every request has ended; then out. Called again, it cuts short what is left.
   * @returns how many requests were cut short.
   */
  stop(reason: string): Promise<number> {
    if (this.stopping !== undefined) this.cutShort = true
    this.stopping ??= this.stopAsPlanned(reason)
    void this.stopping.then(this.markStopped)
    return this.stopping
  }

  private peerMethods(): Record<string, PeerMethod> {
    const { parts } = this
    return {
      ...parts.get(PARTS.groups).methods(),
      ...parts.get(PARTS.ownerService).methods(),
      ...parts.get(PARTS.runs).methods(),
      ...parts.get(FLEET).methods(),
      ...this.orderMethod(),
      [TABLE_CHANGED]: (params: { version: number }) => parts.get(PARTS.follower).noteNewer(params.version),
    }
  }

  private orderMethod(): Record<string, PeerMethod> {
    const { parts, settings } = this
    const { control } = parts.get(PARTS.groups)
    if (control === undefined) return {}
    const follower = parts.get(PARTS.follower)
    const sender = new OrderSender({
      replica: () => control.require(),
      row: (endpoint) => follower.table.table.endpoints.find((row) => row.endpoint === endpoint),
      engines: parts.get(PARTS.engines),
      clock: parts.get(PARTS.clock),
      logger: parts.get(PARTS.logger),
      leaderLease: settings.control.election_timeout_ms,
      orderTimeout: ORDER_TIMEOUT_MS,
    })
    return { 'control.order': (params: { order: OrderRequest }) => sender.send(params.order) }
  }

  private createCallers() {
    const { parts, settings } = this
    const fleet = parts.get(FLEET)
    return createCallerApp({
      settings,
      runs: parts.get(PARTS.runs),
      plain: parts.get(PARTS.plain),
      rows: () => parts.get(PARTS.follower).table.table.endpoints,
      refusesWork: () => fleet.refusesWork(),
      isReady: () => fleet.isReady(),
      logger: parts.get(PARTS.logger),
    })
  }

  private startTimers(): void {
    const { parts, settings } = this
    const clock = parts.get(PARTS.clock)
    const drainQueue = () => parts.get(PARTS.placer).drain()
    this.timers.push(
      every(clock, WATCH_READY_MS, () => this.noteReady()),
      every(clock, WATCH_READY_MS, drainQueue),
    )
    if (settings.platform === undefined) return
    const { registry } = parts.get(PARTS.groups)
    const onLeaving = (names: string[]) => registry.noteLeaving(names)
    this.timers.push(
      startPlatformWatcher({
        url: settings.platform.members,
        clock,
        readEvery: READ_PLATFORM_EVERY_MS,
        onLeaving,
      }),
    )
  }

  private noteReady(): void {
    const fleet = this.parts.get(FLEET)
    const ready = fleet.isReady()
    if (ready === this.wasReady) return
    this.wasReady = ready
    this.parts
      .get(PARTS.logger)
      .info('box.ready', { ready, reason: ready ? 'table lease held' : (fleet.refusesWork() ?? 'leaving') })
  }

  private async stopAsPlanned(reason: string): Promise<number> {
    const { parts, settings } = this
    const clock = parts.get(PARTS.clock)
    const logger = parts.get(PARTS.logger)
    const state = parts.get(PARTS.state)
    logger.info('box.stopping', { reason, streams: this.running() })
    state.phase = 'unready'
    parts.get(PARTS.groups).transferLeadership()
    await this.waitWhile(() => true, settings.stop.unready_ms)
    state.phase = 'draining'
    const endsAt = clock.now() + settings.stop.drain_ms
    await this.waitWhile(() => this.running() > 0, settings.stop.drain_ms)
    const cut = parts.get(PARTS.runs).cancelAll()
    // What has ended may still lie here while its caller reads slowly.
    await this.waitWhile(() => (this.answers?.count ?? 0) > 0, Math.max(SETTLE_MS, endsAt - clock.now()))
    await this.waitWhile(() => parts.get(PARTS.releases).pending > 0, SETTLE_MS * 4)
    await delay(clock, SETTLE_MS)
    state.phase = 'stopped'
    await this.close()
    logger.info('box.stopped', { cut })
    return cut
  }

  private running(): number {
    return this.parts.get(PARTS.runs).running + this.parts.get(PARTS.plain).running
  }

  /** Waits while a condition holds, up to a limit, or until a second stop cuts it short. */
  private async waitWhile(condition: () => boolean, limit: number): Promise<void> {
    const clock = this.parts.get(PARTS.clock)
    const end = clock.now() + limit
    while (condition() && !this.cutShort && clock.now() < end) await delay(clock, DRAIN_CHECK_MS)
  }

  private async close(): Promise<void> {
    const { parts } = this
    this.timers.forEach((cancel) => cancel())
    parts.get(PARTS.follower).stop()
    parts.get(PARTS.ownerService).stop()
    parts.get(PARTS.credits).stop()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
    await parts.get(PARTS.groups).stop()
    await this.peerServer?.close()
    parts.get(PARTS.peers).close()
    await Promise.all([parts.get(PARTS.engines).close(), parts.get(PARTS.plain).close()])
  }
}

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Container } from 'inversify'
import { PendingResponses } from '@forkstage/answers'
import { createCallerApp } from '@forkstage/caller-api'
import { delay, every, type CancelTimer } from '@forkstage/clock'
import { createOperatorApp } from '@forkstage/operator-api'
import { OrderSender, type OrderRequest } from '@forkstage/orders'
import { startPeerServer, type PeerMethod, type PeerServer } from '@forkstage/peer-rpc'
import { startPlatformWatcher } from '@forkstage/platform'
import type { Settings } from '@forkstage/settings'
import type { Millis } from '@forkstage/types'
import { TABLE_CHANGED } from './boxGroups'
import { buildContainer } from './buildContainer'
import { listenHttp } from './listenHttp'
import { FLEET_TOKEN } from './fleetToken'
import { TOKENS } from './tokens'
import { VERSION } from '@forkstage/version'

const READY_CHECK_MS = 100
const READ_PLATFORM_EVERY_MS = 1_000
const ORDER_TIMEOUT_MS = 3_000
const DRAIN_CHECK_MS = 50
/** Time for the outcome of the last stream to reach the journal. */
const SETTLE_MS = 300
/** Time for requests that arrive last to be answered, also where the time for draining is over. */
const LAST_ANSWERS_MS: Millis = 500

/** One box: everything that `forkstage run` starts and stops. */
export class BoxDaemon {
  private readonly container: Container
  private readonly timers: CancelTimer[] = []
  /** Answers to operators and callers that have not been sent completely yet. */
  private operatorAnswers: PendingResponses | undefined
  private answers: PendingResponses | undefined
  private peerServer: PeerServer | undefined
  private stopping: Promise<number> | undefined
  private markStopped: (cut: number) => void = () => undefined
  /** Resolves with the number of requests cut short once the box has stopped. */
  readonly stopped = new Promise<number>((resolve) => (this.markStopped = resolve))
  private cutShort = false
  private wasReady = false

  constructor(private readonly settings: Settings) {
    this.container = buildContainer(settings, () => void this.stop('requested by an operator'))
  }

  async start(): Promise<void> {
    const { container, settings } = this
    this.peerServer = await startPeerServer({
      address: settings.listen.peers,
      sharedKey: settings.peers.shared_key,
      tls: settings.peers.tls,
      methods: this.peerMethods(),
      logger: container.get(TOKENS.logger),
    })
    const operators = createOperatorApp({ settings, service: container.get(FLEET_TOKEN) })
    const callers = this.createCallerHandler()
    const forOperators = await listenHttp(operators, settings.listen.operators)
    const forCallers = await listenHttp(callers, settings.listen.callers)
    this.operatorAnswers = this.trackAnswers(forOperators)
    this.answers = this.trackAnswers(forCallers)
    container.get(TOKENS.groups).start()
    container.get(TOKENS.follower).start()
    container.get(TOKENS.ownerService).start()
    container.get(TOKENS.credits).start()
    container.get(TOKENS.state).phase = 'serving'
    this.startTimers()
    container
      .get(TOKENS.logger)
      .info('box.started', { box: settings.box.name, addresses: settings.listen, version: VERSION })
  }

  /**
   * Stops gracefully: reports unready but still serves what the load balancer sends, then accepts no new work
   * until every request has ended, then closes. A second call cuts short the remaining requests.
   * @returns the number of requests that were cut short.
   */
  stop(reason: string): Promise<number> {
    if (this.stopping !== undefined) this.cutShort = true
    this.stopping ??= this.stopAsPlanned(reason)
    void this.stopping.then(this.markStopped)
    return this.stopping
  }

  private peerMethods(): Record<string, PeerMethod> {
    const { container } = this
    return {
      ...container.get(TOKENS.groups).methods(),
      ...container.get(TOKENS.ownerService).methods(),
      ...container.get(TOKENS.runs).methods(),
      ...container.get(FLEET_TOKEN).methods(),
      ...this.orderMethod(),
      [TABLE_CHANGED]: (params: { version: number }) =>
        container.get(TOKENS.follower).fetchIfNewer(params.version),
    }
  }

  private orderMethod(): Record<string, PeerMethod> {
    const { container, settings } = this
    const { control } = container.get(TOKENS.groups)
    if (control === undefined) return {}
    const follower = container.get(TOKENS.follower)
    const sender = new OrderSender({
      replica: () => control.require(),
      row: (endpoint) => follower.table.table.endpoints.find((row) => row.endpoint === endpoint),
      engines: container.get(TOKENS.engines),
      clock: container.get(TOKENS.clock),
      logger: container.get(TOKENS.logger),
      leaderLease: settings.control.election_timeout_ms,
      orderTimeout: ORDER_TIMEOUT_MS,
    })
    return { 'control.order': (params: { order: OrderRequest }) => sender.send(params.order) }
  }

  private createCallerHandler() {
    const { container, settings } = this
    const fleet = container.get(FLEET_TOKEN)
    return createCallerApp({
      settings,
      runs: container.get(TOKENS.runs),
      plain: container.get(TOKENS.plain),
      rows: () => container.get(TOKENS.follower).table.table.endpoints,
      refusalReason: () => fleet.refusalReason(),
      isReady: () => fleet.isReady(),
      logger: container.get(TOKENS.logger),
    })
  }

  private startTimers(): void {
    const { container, settings } = this
    const clock = container.get(TOKENS.clock)
    const drainQueue = () => container.get(TOKENS.placer).drain()
    this.timers.push(
      every(clock, READY_CHECK_MS, () => this.logReadyChange()),
      every(clock, READY_CHECK_MS, drainQueue),
    )
    if (settings.platform === undefined) return
    const { registry } = container.get(TOKENS.groups)
    const onLeaving = (names: string[]) => registry.setLeaving(names)
    this.timers.push(
      startPlatformWatcher({
        url: settings.platform.members,
        clock,
        readEvery: READ_PLATFORM_EVERY_MS,
        onLeaving,
      }),
    )
  }

  private logReadyChange(): void {
    const fleet = this.container.get(FLEET_TOKEN)
    const ready = fleet.isReady()
    if (ready === this.wasReady) return
    this.wasReady = ready
    this.container
      .get(TOKENS.logger)
      .info('box.ready', { ready, reason: ready ? 'table lease held' : (fleet.refusalReason() ?? 'leaving') })
  }

  private async stopAsPlanned(reason: string): Promise<number> {
    const { container, settings } = this
    const clock = container.get(TOKENS.clock)
    const logger = container.get(TOKENS.logger)
    const state = container.get(TOKENS.state)
    logger.info('box.stopping', { reason, streams: this.running() })
    state.phase = 'unready'
    container.get(TOKENS.groups).transferLeadership()
    await this.waitWhile(() => true, settings.stop.unready_ms)
    state.phase = 'draining'
    const endsAt = clock.now() + settings.stop.drain_ms
    await this.waitWhile(() => this.running() > 0, settings.stop.drain_ms)
    const cut = container.get(TOKENS.runs).cancelAll()
    // The answer of an ended request may still be buffered for a caller that reads slowly.
    await this.waitWhile(() => (this.answers?.count ?? 0) > 0, Math.max(SETTLE_MS, endsAt - clock.now()))
    await this.waitWhile(() => container.get(TOKENS.releases).pending > 0, SETTLE_MS * 4)
    await delay(clock, SETTLE_MS)
    state.phase = 'stopped'
    await this.closeListeners(endsAt)
    await this.close()
    logger.info('box.stopped', { cut })
    return cut
  }

  private running(): number {
    return this.container.get(TOKENS.runs).running + this.container.get(TOKENS.plain).running
  }

  /** Waits while a condition holds, up to a limit, or until a second stop cuts it short. */
  private async waitWhile(condition: () => boolean, limit: number): Promise<void> {
    const clock = this.container.get(TOKENS.clock)
    const end = clock.now() + limit
    while (condition() && !this.cutShort && clock.now() < end) await delay(clock, DRAIN_CHECK_MS)
  }

  /** Tracks the answers of a server; once the box has stopped, each ends its connection. */
  private trackAnswers(server: Server): PendingResponses {
    const state = this.container.get(TOKENS.state)
    server.prependListener('request', (_request: IncomingMessage, response: ServerResponse) => {
      if (state.phase === 'stopped') response.setHeader('Connection', 'close')
    })
    return new PendingResponses(server)
  }

  /** Closes the listeners once every request is answered and all connections are quiet, or the time is over. */
  private async closeListeners(endsAt: Millis): Promise<void> {
    const clock = this.container.get(TOKENS.clock)
    const all = [this.operatorAnswers, this.answers].filter((answers) => answers !== undefined)
    let areClosed = false
    all.forEach((answers) => answers.announceClose())
    void Promise.all(all.map((answers) => answers.close())).then(() => (areClosed = true))
    await this.waitWhile(() => !areClosed, Math.max(LAST_ANSWERS_MS, endsAt - clock.now()))
    await Promise.all(all.map((answers) => answers.closeAll()))
  }

  private async close(): Promise<void> {
    const { container } = this
    this.timers.forEach((cancel) => cancel())
    container.get(TOKENS.follower).stop()
    container.get(TOKENS.ownerService).stop()
    container.get(TOKENS.credits).stop()
    await container.get(TOKENS.groups).stop()
    await this.peerServer?.close()
    container.get(TOKENS.peers).close()
    await Promise.all([container.get(TOKENS.engines).close(), container.get(TOKENS.plain).close()])
  }
}

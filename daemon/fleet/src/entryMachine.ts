import { PLACE } from '@forkstage/allocator'
import { every, type CancelTimer } from '@forkstage/clock'
import { CRASH_REPORT, TRIAL_REQUEST, TRIAL_END } from '@forkstage/crashes'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { seedAddresses, type FleetSettings } from '@forkstage/fleet-settings'
import {
  ColdEndpointLimiter,
  EVACUATED,
  EndpointPool,
  regionRule,
  KEPT_FREE,
  Ingress,
  LeaderClient,
  LocalPlacer,
  RemotePlacer,
  GatewayRetryBudget,
  WorkspaceAdmission,
  type GatewayWire,
} from '@forkstage/gateway'
import { LIMIT_REPORT } from '@forkstage/limits'
import { startPeerServer, type PeerServer } from '@forkstage/peer-rpc'
import { QUOTA_REPORT, QuotaLimiter, type QuotaAnswer } from '@forkstage/quota'
import { RouteStore, type RouteSheet } from '@forkstage/routes'
import { AvailabilityTracker } from '@forkstage/statements'
import { Topology } from '@forkstage/topology'
import { ControlFollower, type WatchedSheet } from '@forkstage/watch'
import { ColdEndpoints } from './coldEndpoints'
import { countBy } from './countBy'
import { createCrashBook } from './createCrashBook'
import { EntryCrashes } from './entryCrashes'
import { EntryLimits } from './entryLimits'
import { EvacuationBelief } from './evacuationBelief'
import { FleetMeters } from './fleetMeters'
import { listenOn, type Listener } from './listenOn'
import { logEndpoints } from './logEndpoints'
import type { MachineBasics } from './machineBasics'
import { serveMetrics } from './serveMetrics'

const SECOND_MS = 1_000
/** How often the count of entries is looked at, which cold endpoints' shares go by. */
const COUNT_EVERY_MS = 1_000
const READY = 200
const NOT_READY = 503
const CHECK_IDLE_MS = 50
/** Kept between the last answer and the end by force. */
const GRACE_MARGIN_MS = 400
/** Connections that were ended are closed within a turn of the event loop or two. */
const CUT_LINES_MS = 100
const CHECK_CUT_MS = 5
/** Entries assumed to share the allowance until a control machine has counted them. */
const ENTRIES_UNTIL_KNOWN = 64

/** What a deployment speaks, as an entry needs it. */
export interface EntryWire {
  gateway: GatewayWire
  readSheet: (text: string) => RouteSheet | undefined
}

/** An entry: callers' listener, routing and relays. Keeps nothing on disk. */
export class EntryMachine {
  private readonly book = new RouteStore()
  private readonly directory = new Directory(() => this.basics.clock.now())
  private readonly cold: ColdEndpoints
  private readonly coldGate: ColdEndpointLimiter
  private readonly limits: EntryLimits
  private readonly statements: AvailabilityTracker
  private readonly belief: EvacuationBelief
  private readonly pool: EndpointPool
  private readonly crashes: EntryCrashes
  private readonly follower: ControlFollower
  private readonly placer: RemotePlacer
  private readonly way: LeaderClient
  private readonly quotas: QuotaLimiter
  private peerServer: PeerServer | undefined
  private readonly ingress: Ingress
  private readonly meters: FleetMeters
  private listeners: Listener[] = []
  private leaving = false
  private cancelLook: CancelTimer = () => undefined

  constructor(
    private readonly basics: MachineBasics,
    private readonly wire: EntryWire,
  ) {
    const { settings, clock, random, logger, peers } = basics
    this.cold = new ColdEndpoints({
      directory: this.directory,
      service: (name) => this.book.current?.service(name),
      ...settings.cold,
      onCold: (id) => this.pool.resetPace(id),
      clock,
      logger,
    })
    this.coldGate = new ColdEndpointLimiter({
      clock,
      random,
      leftMs: (id) => this.cold.leftMs(id, clock.now()),
      hasReportedCold: (id) => this.directory.hasReportedCold(id),
      perSecond: (service) => this.cold.perSecond(service),
      entries: () => this.follower.entries(),
    })
    this.statements = new AvailabilityTracker({ clock, random, logger })
    this.belief = new EvacuationBelief({ logger, onWithdrawn: (domain) => this.cold.doubt(domain) })
    const isEvacuated = ({ zone }: RegisteredEndpoint) => this.belief.view.isEvacuated(zone)
    const isKeptFree = ({ id }: RegisteredEndpoint) => this.follower.isReserved(id)
    const topology = new Topology(settings.domains)
    this.pool = new EndpointPool({
      zone: settings.machine.zone,
      topology,
      isBarred: (one) => isEvacuated(one) || isKeptFree(one),
      statements: this.statements,
      isCold: (id) => this.coldGate.isCold(id),
      clock,
      random,
      logger,
    })
    this.follower = new ControlFollower({
      seeds: () => seedAddresses(basics.settings),
      entry: settings.listen.peers,
      peers,
      clock,
      logger,
      holdMs: settings.watch.hold_ms,
      sheetVersion: () => this.book.version,
      onSheet: (sheet) => this.install(sheet),
      evacuations: () => this.belief.view.current,
      onEvacuations: (set) => this.belief.take(set),
      onSupposedEvacuations: (domains) => this.belief.suppose(domains),
      onCrashes: (records) => this.crashes.apply(records),
      onEndpoints: (records) => this.takeEndpoints(records),
      isKnown: (raw) => this.directory.isKnown(raw),
    })
    const entries = () => this.follower.entries() || ENTRIES_UNTIL_KNOWN
    const allowance = new GatewayRetryBudget({
      clock,
      share: settings.retry.share,
      slack: settings.retry.slack,
      windowMs: settings.retry.window_s * SECOND_MS,
      entries,
    })
    this.way = new LeaderClient({
      leader: () => this.follower.leader(),
      neighbours: () => this.follower.neighbours(),
      peers,
      clock,
      logger,
      forwardableMethods: [
        ...Object.values(PLACE),
        QUOTA_REPORT,
        LIMIT_REPORT,
        CRASH_REPORT,
        TRIAL_REQUEST,
        TRIAL_END,
      ],
    })
    const crashBook = createCrashBook(settings.crashes, clock)
    const { directory, way } = this
    this.crashes = new EntryCrashes({
      book: crashBook,
      directory,
      isBarred: isEvacuated,
      way,
      clock,
      logger,
    })
    this.quotas = this.createQuotas(entries)
    this.limits = new EntryLimits(basics, way, () => this.follower.entries())
    this.placer = new RemotePlacer({
      entry: settings.machine.name,
      domain: settings.machine.zone,
      pool: this.pool,
      fallback: new LocalPlacer({
        pool: this.pool,
        kvTokens: (service) => this.book.current?.service(service)?.engine?.kvTokens ?? 0,
        entries,
        cold: this.coldGate,
        limits: this.limits.gate,
      }),
      leaderClient: this.way,
      cold: this.coldGate,
      limits: this.limits.gate,
      clock,
      logger,
    })
    this.ingress = new Ingress({
      parts: {
        wire: wire.gateway,
        pool: this.pool,
        placer: this.placer,
        retryBudget: allowance,
        entries: () => this.follower.entries() || 1,
        cold: this.coldGate,
        limits: this.limits.gate,
        rates: this.limits.book,
        statements: this.statements,
        leavingServesMs: settings.leaving.serves_ms,
        crashes: this.crashes,
        sendRules: [
          (to) => (isEvacuated(to) ? EVACUATED : undefined),
          (to, { isolatedId }) => (isKeptFree(to) && isolatedId !== to.id ? KEPT_FREE : undefined),
          regionRule(topology),
        ],
        clock,
        random,
        logger,
      },
      admission: new WorkspaceAdmission({
        wire: wire.gateway,
        quotas: this.quotas,
        isCurrent: () => this.follower.isCurrent(),
        clock,
        logger,
      }),
      routes: () => this.book.current,
      isViewFresh: () => this.follower.hasAnswerSinceSuspension(),
      onResult: (report) => this.meters.noteRequest(report),
    })
    this.meters = new FleetMeters({
      sheet_version: () => this.book.version,
      endpoints: () =>
        countBy(this.directory.list().map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
      endpoints_cold: () => this.cold.count,
      endpoints_limited: () => this.limits.book.count,
      endpoints_resting: () => this.statements.backoffCount,
      endpoints_leaving: () => this.statements.leavingCount,
      evacuated_domains: () => this.belief.view.current.domains.length,
      contents_refused: () => crashBook.countRefused(),
      contents_suspected: () => crashBook.countSuspects(),
      requests_running: () => this.ingress.running,
      entries_known: () => this.follower.entries(),
      retries: () => ({ ...allowance.counts }),
      leader_known: () => Number(this.follower.leader() !== undefined),
      log_lines_omitted: () => basics.logBudget.omittedTotal,
    })
  }

  /** Whether callers should come here. */
  get isReady(): boolean {
    return !this.leaving && this.book.current !== undefined && this.pool.size > 0
  }

  async start(): Promise<void> {
    const { settings, logger } = this.basics
    const { listen } = settings
    // Connects and asks for routes while the listeners are set up.
    this.follower.start()
    this.peerServer = await startPeerServer({
      address: listen.peers,
      sharedKey: settings.peers.shared_key,
      methods: this.way.methods(),
      logger,
    })
    const readiness = await listenOn((request, response) => {
      const isKnown = request.url === this.wire.gateway.readinessPath
      response.statusCode = isKnown && this.isReady ? READY : NOT_READY
      response.end()
    }, listen.readiness!)
    this.listeners = [readiness, await listenOn(this.ingress.server, listen.callers!)]
    this.listeners.push(...(await serveMetrics(this.meters, listen.metrics)))
    this.placer.start()
    this.cold.start()
    this.cancelLook = every(this.basics.clock, COUNT_EVERY_MS, () => this.look())
    this.quotas.start()
    this.limits.start()
  }

  /** Takes changed settings: new seeds to begin with. */
  reload(settings: FleetSettings): void {
    this.basics.settings = settings
    this.follower.followNew(seedAddresses(settings))
  }

  /**
   * Not ready at once; serves what still comes; ends when nothing runs or the time is up.
   * @returns how many requests were cut off.
   */
  async stop(): Promise<number> {
    const { clock, settings, peers } = this.basics
    const endsAt = clock.now() + settings.stop.grace_s * SECOND_MS - GRACE_MARGIN_MS
    this.leaving = true
    this.ingress.leave()
    await this.wait(settings.stop.unready_ms)
    this.ingress.close()
    while (this.ingress.running > 0 && clock.now() < endsAt) await this.wait(CHECK_IDLE_MS)
    const cut = this.ingress.running
    this.ingress.closeAll()
    // Each answer that was cut is written down under its id; the process would end before.
    for (let waited = 0; this.ingress.running > 0 && waited < CUT_LINES_MS; waited += CHECK_CUT_MS)
      await this.wait(CHECK_CUT_MS)
    this.follower.stop()
    this.placer.stop()
    this.cold.stop()
    this.cancelLook()
    this.quotas.stop()
    this.limits.stop()
    this.crashes.stop()
    this.listeners.forEach((listener) => listener.close())
    await this.peerServer?.close()
    peers.close()
    return cut
  }

  private createQuotas(entries: () => number): QuotaLimiter {
    const { settings, clock, random, epoch } = this.basics
    return new QuotaLimiter({
      entry: settings.machine.name,
      life: epoch,
      clock,
      random,
      report: (report) => this.way.tryCall<QuotaAnswer>(QUOTA_REPORT, report, settings.quota.report_ms),
      leader: () => this.follower.leader(),
      entries,
      windowMs: settings.quota.window_s * SECOND_MS,
      reportEveryMs: settings.quota.report_ms,
    })
  }

  private look(): void {
    this.coldGate.sweep()
    const isRegistered = (id: string) => this.directory.get(id) !== undefined
    this.limits.gate.sweep(isRegistered)
    this.statements.sweep(isRegistered)
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => this.basics.clock.after(milliseconds, resolve))
  }

  private install(watched: WatchedSheet): void {
    const sheet = this.wire.readSheet(watched.text)
    if (sheet === undefined || !this.book.install(sheet)) return
    this.ingress.setLimits(sheet.limits)
    this.basics.logger.info('sheet.installed', {
      version: sheet.version,
      routes: sheet.routes.length,
      services: sheet.services.length,
    })
  }

  private takeEndpoints(records: RegisteredEndpoint[]): void {
    const news = this.directory.merge(records)
    this.pool.update(news)
    if (news.length > 0) this.cold.look(news)
    if (news.length > 0) this.crashes.checkSuspected()
    logEndpoints(this.basics.logger, news)
  }
}

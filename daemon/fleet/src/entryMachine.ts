import type { Socket } from 'node:net'
import { delay, every, type CancelTimer } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { seedAddresses, type FleetSettings } from '@forkstage/fleet-settings'
import {
  ColdEndpointLimiter,
  EndpointPool,
  Ingress,
  LocalPlacer,
  RemotePlacer,
  WorkspaceAdmission,
  type GatewayWire,
  type LeaderClient,
  type OriginClient,
} from '@forkstage/gateway'
import { startPeerServer, type PeerServer } from '@forkstage/peer-rpc'
import type { QuotaLimiter } from '@forkstage/quota'
import { RouteStore, type RouteSheet } from '@forkstage/routes'
import { AvailabilityTracker } from '@forkstage/statements'
import { Topology } from '@forkstage/topology'
import { ControlFollower, type WatchedSheet } from '@forkstage/watch'
import { ColdEndpointTracker } from './coldEndpointTracker'
import { connectionLimits } from './connectionLimits'
import { createCrashTracker } from './createCrashTracker'
import { createEntryMemory, type EntryMemory } from './createEntryMemory'
import { createEntryMetrics } from './createEntryMetrics'
import { createLeaderClient } from './createLeaderClient'
import { createOpener } from './createOpener'
import { createOriginClient } from './createOriginClient'
import { createQuotaLimiter } from './createQuotaLimiter'
import { createRetryBudget } from './createRetryBudget'
import { endCallers } from './endCallers'
import { EntryCrashes } from './entryCrashes'
import { EntryLimits } from './entryLimits'
import { EntryLoad } from './entryLoad'
import { EntryPaths } from './entryPaths'
import { entrySendRules } from './entrySendRules'
import { EvacuationTracker } from './evacuationTracker'
import type { FleetMetrics } from './fleetMetrics'
import { listenOn, type Listener } from './listenOn'
import { logEndpoints } from './logEndpoints'
import type { MachineContext } from './machineContext'
import { serveMetrics } from './serveMetrics'
import { serveReadiness } from './serveReadiness'

const SECOND_MS = 1_000
/** How often limiters are updated; the shares of cold endpoints depend on the number of entries. */
const SWEEP_EVERY_MS = 1_000
/** Margin between the last answer and the forced end of the process. */
const GRACE_MARGIN_MS = 400
/** Number of entries assumed to share the retry budget until a control machine has counted them. */
const ASSUMED_ENTRIES = 64

/** The formats of a deployment that an entry uses. */
export interface EntryWire {
  gateway: GatewayWire
  /** Parses a route sheet. Returns undefined if the text is not a complete sheet. */
  readSheet: (text: string) => RouteSheet | undefined
}

/** An entry machine: listens for callers, routes and relays their requests. Stores nothing on disk. */
export class EntryMachine {
  private readonly routes = new RouteStore()
  private readonly directory = new Directory(() => this.context.clock.now())
  private readonly cold: ColdEndpointTracker
  private readonly coldLimiter: ColdEndpointLimiter
  private readonly limits: EntryLimits
  private readonly availability: AvailabilityTracker
  private readonly evacuations: EvacuationTracker
  private readonly pool: EndpointPool
  private readonly crashes: EntryCrashes
  private readonly follower: ControlFollower
  private readonly placer: RemotePlacer
  private readonly leaderClient: LeaderClient
  private readonly quotas: QuotaLimiter
  private readonly paths: EntryPaths
  private readonly origins: OriginClient
  private readonly load: EntryLoad
  private readonly memory: EntryMemory
  private peerServer: PeerServer | undefined
  private readonly ingress: Ingress
  private readonly metrics: FleetMetrics
  private listeners: Listener[] = []
  /** Whether callers can connect. */
  private isOpen = false
  private leaving = false
  private cancelSweep: CancelTimer = () => undefined

  constructor(
    private readonly context: MachineContext,
    private readonly wire: EntryWire,
  ) {
    const { settings, clock, random, logger, peers } = context
    this.memory = createEntryMemory(context)
    this.load = new EntryLoad({
      ingress: () => this.ingress,
      targetMs: () => this.routes.current?.smallestTargetMs,
      clock,
      logger,
    })
    this.cold = new ColdEndpointTracker({
      directory: this.directory,
      service: (name) => this.routes.current?.service(name),
      ...settings.cold,
      onCold: (id) => this.pool.resetPace(id),
      clock,
      logger,
    })
    this.coldLimiter = new ColdEndpointLimiter({
      clock,
      random,
      leftMs: (id) => this.cold.leftMs(id, clock.now()),
      hasReportedCold: (id) => this.directory.hasReportedCold(id),
      perSecond: (service) => this.cold.perSecond(service),
      entries: () => this.follower.entries(),
    })
    this.availability = new AvailabilityTracker({ clock, random, logger })
    this.evacuations = new EvacuationTracker({ logger, onWithdrawn: (domain) => this.cold.markCold(domain) })
    const isEvacuated = ({ zone }: RegisteredEndpoint) => this.evacuations.view.isEvacuated(zone)
    const isReserved = ({ id }: RegisteredEndpoint) => this.follower.isReserved(id)
    const topology = new Topology(settings.domains)
    this.pool = new EndpointPool({
      zone: settings.machine.zone,
      topology,
      isBarred: (one) => isEvacuated(one) || isReserved(one),
      availability: this.availability,
      isCold: (id) => this.coldLimiter.isCold(id),
      clock,
      random,
      logger,
    })
    this.follower = new ControlFollower({
      seeds: () => seedAddresses(context.settings),
      entry: settings.listen.peers,
      peers,
      clock,
      logger,
      holdMs: settings.watch.hold_ms,
      sheetVersion: () => this.routes.version,
      onSheet: (sheet) => this.install(sheet),
      evacuations: () => this.evacuations.view.current,
      onEvacuations: (set) => this.evacuations.merge(set),
      onSupposedEvacuations: (domains) => this.evacuations.addSupposed(domains),
      onCrashes: (records) => this.crashes.apply(records),
      onEndpoints: (records) => this.mergeEndpoints(records),
      isKnown: (raw) => this.directory.isKnown(raw),
    })
    const entries = () => this.follower.entries() || ASSUMED_ENTRIES
    const retryBudget = createRetryBudget(context, entries)
    this.leaderClient = createLeaderClient(context, this.follower)
    const { directory, leaderClient } = this
    const crashTracker = createCrashTracker(settings.crashes, clock, directory)
    this.origins = createOriginClient(leaderClient, this.follower, clock)
    this.paths = new EntryPaths({
      context,
      directory,
      neighbours: () => this.follower.neighbours(),
      refusesTunnels: () => this.leaving || this.load.gate.isLimiting || this.memory.bodyMemory.isSpent,
      delays: this.load.delays,
    })
    this.crashes = new EntryCrashes({
      tracker: crashTracker,
      directory,
      isBarred: isEvacuated,
      leaderClient,
      probeAddress: (address) => this.paths.dialer.probe(address),
      clock,
      logger,
    })
    this.quotas = createQuotaLimiter(context, this.follower, leaderClient, entries)
    this.limits = new EntryLimits(context, leaderClient, () => this.follower.entries())
    this.placer = new RemotePlacer({
      entry: settings.machine.name,
      domain: settings.machine.zone,
      pool: this.pool,
      fallback: new LocalPlacer({
        pool: this.pool,
        kvTokens: (service) => this.routes.current?.service(service)?.engine?.kvTokens ?? 0,
        entries,
        cold: this.coldLimiter,
        limits: this.limits.limiter,
      }),
      leaderClient: this.leaderClient,
      cold: this.coldLimiter,
      limits: this.limits.limiter,
      origins: this.origins,
      clock,
      logger,
    })
    this.ingress = new Ingress({
      parts: {
        wire: wire.gateway,
        pool: this.pool,
        placer: this.placer,
        retryBudget,
        answerMemory: this.memory.answerMemory,
        entries: () => this.follower.entries() || 1,
        cold: this.coldLimiter,
        limits: this.limits.limiter,
        rates: this.limits.rates,
        availability: this.availability,
        leavingServesMs: settings.leaving.serves_ms,
        crashes: this.crashes,
        origins: this.origins,
        dialer: this.paths.dialer,
        isDelayed: () => this.load.isDelayed,
        sendRules: entrySendRules({ isEvacuated, isReserved, topology }),
        evacuationIndex: () => this.evacuations.loggedIndex,
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
      bodyMemory: this.memory.bodyMemory,
      routes: () => this.routes.current,
      isViewFresh: () => this.follower.hasAnswerSinceSuspension(),
      gate: this.load.gate,
      onRequest: () => this.load.delays.watch(),
      onResult: (report) => this.metrics.recordRequest(report),
    })
    this.metrics = createEntryMetrics({
      sheetVersion: () => this.routes.version,
      ingress: this.ingress,
      delays: this.load.delays,
      gate: this.load.gate,
      directory,
      pool: this.pool,
      paths: this.paths,
      cold: this.cold,
      limits: this.limits,
      availability: this.availability,
      evacuations: this.evacuations,
      crashes: crashTracker,
      follower: this.follower,
      retryBudget,
      ...this.memory,
      context,
    })
  }

  /** Whether this entry can serve callers. */
  get isReady(): boolean {
    const hasEndpoints = this.pool.size > 0 && this.paths.hasPath
    return this.isOpen && !this.leaving && this.routes.current !== undefined && hasEndpoints
  }

  async start(): Promise<void> {
    const { settings, clock, logger } = this.context
    const open = createOpener({ clock, logger, isStopping: () => this.leaving })
    // Read at each attempt, since changed settings may name an address that is free.
    const listen = () => this.context.settings.listen
    // Connects and fetches routes while the listeners are set up.
    this.follower.start()
    const limits = connectionLimits(settings.connections.descriptors, logger)
    const peerOptions = {
      address: settings.listen.peers,
      connections: limits.peers,
      sharedKey: settings.peers.shared_key,
      methods: { ...this.leaderClient.methods(), ...this.paths.methods() },
      onJoin: (ticket: string, socket: Socket) => this.paths.join(ticket, socket),
      logger,
    }
    this.peerServer = await open(() => startPeerServer(peerOptions))
    const metrics = () => serveMetrics(this.metrics, listen().metrics, limits.metrics)
    this.listeners.push(...(await open(metrics)))
    this.placer.start()
    this.cold.start()
    this.cancelSweep = every(clock, SWEEP_EVERY_MS, () => this.sweep())
    this.quotas.start()
    this.limits.start()
    const { readinessPath } = this.wire.gateway
    const isReady = () => this.isReady
    const readiness = () => serveReadiness(readinessPath, isReady, listen().readiness!, limits.readiness)
    this.listeners.push(await open(readiness))
    // Last, so that no start fails after it has accepted a request.
    this.listeners.push(await open(() => listenOn(this.ingress.server, listen().callers!, limits.callers)))
    this.isOpen = true
  }

  /** Applies changed settings and connects to control machines from the new seeds. */
  reload(settings: FleetSettings): void {
    this.context.settings = settings
    this.follower.followNew(seedAddresses(settings))
  }

  /**
   * Reports not ready, serves requests that still arrive, and stops when none is running or the grace time is over.
   * @returns the number of requests cut off.
   */
  async stop(): Promise<number> {
    const { clock, settings, peers, logger } = this.context
    const endsAt = clock.now() + settings.stop.grace_s * SECOND_MS - GRACE_MARGIN_MS
    this.leaving = true
    this.ingress.leave(endsAt)
    await delay(clock, settings.stop.unready_ms)
    const isCarrying = () => this.paths.carried > 0
    const cut = await endCallers({ ingress: this.ingress, isCarrying, endsAt, clock, logger })
    this.follower.stop()
    this.placer.stop()
    this.cold.stop()
    this.cancelSweep()
    this.quotas.stop()
    this.limits.stop()
    this.crashes.stop()
    this.origins.stop()
    this.paths.stop()
    this.load.stop()
    this.listeners.forEach((listener) => listener.close())
    await this.peerServer?.close()
    peers.close()
    return cut
  }

  private sweep(): void {
    this.coldLimiter.sweep()
    const isRegistered = (id: string) => this.directory.get(id) !== undefined
    this.limits.limiter.sweep(isRegistered)
    this.availability.sweep(isRegistered)
    this.paths.sweep()
    this.origins.sweep()
  }

  private install(watched: WatchedSheet): void {
    const sheet = this.wire.readSheet(watched.text)
    if (sheet === undefined || !this.routes.install(sheet)) return
    this.ingress.setLimits(sheet.limits)
    this.context.logger.info('sheet.installed', {
      version: sheet.version,
      routes: sheet.routes.length,
      services: sheet.services.length,
    })
  }

  private mergeEndpoints(records: RegisteredEndpoint[]): void {
    const changed = this.directory.merge(records)
    if (changed.length === 0) return
    this.pool.update(changed)
    this.origins.update(changed)
    this.cold.refresh(changed)
    this.crashes.checkSuspected()
    logEndpoints(this.context.logger, changed)
  }
}

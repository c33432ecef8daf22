import { AllocatorService } from '@forkstage/allocator'
import { every, type CancelTimer } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { seedAddresses, type FleetSettings } from '@forkstage/fleet-settings'
import { GroupClient, type GroupHost, type ReplicaStatus } from '@forkstage/group'
import { MembershipReconciler } from '@forkstage/keeper'
import { startPeerServer, type PeerMethod, type PeerServer } from '@forkstage/peer-rpc'
import type { QuotaLedger } from '@forkstage/quota'
import { RouteStore } from '@forkstage/routes'
import { createFileSystem } from '@forkstage/storage'
import { SheetStateMachine, type SheetCommand, type SheetDocument, type SheetResult } from '@forkstage/sheet'
import { Topology } from '@forkstage/topology'
import type { Address } from '@forkstage/types'
import { ControlFollower, SHEET_METHOD, WATCH_METHOD, WatchHub, type WatchRequest } from '@forkstage/watch'
import { ColdEndpointTracker } from './coldEndpointTracker'
import { connectionLimits } from './connectionLimits'
import { ControlCrashes } from './controlCrashes'
import { ControlLimits } from './controlLimits'
import { ControlOrigins } from './controlOrigins'
import { createControlApp } from './controlApp'
import { ControlIngress } from './controlIngress'
import { createCrashTracker } from './createCrashTracker'
import { createGroupHost } from './createGroupHost'
import { createOpener } from './createOpener'
import { createQuotaLedger } from './createQuotaLedger'
import type { ControlWire } from './controlWire'
import { createControlMetrics } from './createControlMetrics'
import { endRequests } from './endRequests'
import { EvacuationTracker } from './evacuationTracker'
import { EvacuationService } from './evacuationService'
import type { FleetMetrics } from './fleetMetrics'
import { knownLeader } from './knownLeader'
import type { Listener } from './listenOn'
import type { MachineContext } from './machineContext'
import { membershipRules } from './membershipRules'
import { quotaMethods } from './quotaMethods'
import { Registrar } from './registrar'
import { serveMetrics } from './serveMetrics'
import { SavedEndpoints } from './savedEndpoints'
import { SheetService } from './sheetService'
import { StageOrderSender } from './stageOrderSender'

const GROUP = 'sheet'
const SECOND_MS = 1_000
/** How often the leader is checked: short compared with an election, which takes a few hundred milliseconds. */
const LEADER_CHECK_EVERY_MS = 20

/** A control machine: a replica of the route sheet, the endpoint directory, and the API for operators and endpoints. */
export class ControlMachine {
  private readonly sheetMachine = new SheetStateMachine()
  private readonly directory = new Directory(() => this.context.clock.now())
  private readonly host: GroupHost<SheetCommand, SheetResult>
  private readonly membership: MembershipReconciler<SheetCommand, SheetResult>
  private readonly follower: ControlFollower
  private readonly hub: WatchHub
  private readonly sheetService: SheetService
  private readonly evacuationService: EvacuationService
  private readonly evacuations: EvacuationTracker
  private readonly registrar: Registrar
  private readonly allocator: AllocatorService
  private readonly cold: ColdEndpointTracker
  private readonly quotas: QuotaLedger
  private readonly limits: ControlLimits
  private readonly stageOrders: StageOrderSender
  private readonly saved: SavedEndpoints
  private readonly crashes: ControlCrashes
  private readonly origins: ControlOrigins
  private readonly ingress: ControlIngress
  private peerServer: PeerServer | undefined
  private listeners: Listener[] = []
  private isStopping = false
  private readonly metrics: FleetMetrics
  private newestSheet: SheetDocument | undefined
  private readonly routes = new RouteStore()
  private announcedLeader: Address | undefined
  private cancelLeaderCheck: CancelTimer = () => undefined

  constructor(
    private readonly context: MachineContext,
    private readonly wire: ControlWire,
  ) {
    const { settings, clock, peers, logger, epoch } = context
    const self = settings.listen.peers
    this.host = createGroupHost(GROUP, context, this.sheetMachine)
    this.evacuations = new EvacuationTracker({
      logger,
      onChange: () => this.hub.notifyChange(),
      onWithdrawn: (domain) => this.cold.markCold(domain),
    })
    this.follower = new ControlFollower({
      seeds: () => seedAddresses(context.settings),
      self,
      peers,
      clock,
      logger,
      holdMs: settings.watch.hold_ms,
      evacuations: () => this.evacuations.view.current,
      onEvacuations: (set) => this.evacuationService.mergeReceived(set),
      onSupposedEvacuations: (domains) => this.evacuations.addSupposed(domains),
      onCrashes: (records) => this.crashes.apply(records),
      onEndpoints: (records) => this.registrar.merge(records),
      isKnown: (raw) => this.directory.isKnown(raw),
    })
    const replicas = () => this.controlAddresses()
    this.membership = new MembershipReconciler({
      group: GROUP,
      host: this.host,
      addresses: replicas,
      selfAddress: self,
      peers,
      clock,
      logger,
      rules: membershipRules(settings),
      rejoinAfterMs: settings.control.election_timeout_ms,
    })
    const crashTracker = createCrashTracker(settings.crashes, clock)
    this.hub = new WatchHub({
      crashes: crashTracker,
      reserved: () => this.crashes.reserved,
      epoch,
      directory: this.directory,
      sheet: () => this.newestSheet,
      evacuations: () => this.evacuations.view.current,
      supposedEvacuations: () => this.evacuationService.supposedDomains(),
      members: () => this.memberAddresses(),
      leader: () => this.leader(),
      clock,
    })
    const endpoints = () => this.directory.list()
    const isBarred = ({ zone }: RegisteredEndpoint) => this.evacuations.view.isEvacuated(zone)
    const isRegistered = (id: string) => this.directory.get(id) !== undefined
    const isLeader = () => this.host.replica?.holdsLease === true
    const disk = { folder: settings.machine.data_folder!, files: createFileSystem(), clock, logger }
    const others = () => this.memberAddresses().filter((address) => address !== self)
    this.origins = new ControlOrigins({ ...disk, isFounding: settings.control.found, others, peers })
    const onChange = () => this.hub.notifyChange()
    const crashes = { ...disk, tracker: crashTracker, endpoints, isBarred, isLeader, random: context.random }
    this.crashes = new ControlCrashes({ ...crashes, onChange })
    this.saved = new SavedEndpoints({
      ...disk,
      wire,
      directory: this.directory,
      self,
      voters: () => this.host.replica?.config.voters.map(({ address }) => address) ?? [],
      peers,
      service: (name) => this.routes.current?.service(name),
      merge: (records) => this.registrar.merge(records),
    })
    this.registrar = new Registrar({
      directory: this.directory,
      persist: (departed) => this.saved.persistDeparture(departed),
      hub: this.hub,
      logger,
      isConnected: () => this.leader() !== undefined,
      versions: { self, leader: () => this.leader(), origins: this.origins, peers, clock },
      onChange: (changed) => this.handleChanged(changed),
    })
    const client = new GroupClient<SheetCommand, SheetResult>({ group: GROUP, replicas, peers, clock })
    this.cold = new ColdEndpointTracker({
      directory: this.directory,
      service: (name) => this.routes.current?.service(name),
      ...settings.cold,
      onCold: (id) => this.allocator.forgetEngine(id),
      clock,
      logger,
    })
    const replicated = { group: GROUP, host: this.host, machine: this.sheetMachine, client, logger }
    this.sheetService = new SheetService(replicated)
    const box = settings.machine.name
    this.evacuationService = new EvacuationService({ ...replicated, box, tracker: this.evacuations, clock })
    const term = () => this.host.replica?.term ?? 0
    const entries = () => this.hub.countEntries()
    this.limits = new ControlLimits({ clock, logger, term, isLeader, isRegistered })
    this.allocator = new AllocatorService({
      cold: this.cold,
      limits: this.limits.policy,
      clock,
      logger,
      endpoints,
      engine: (service) => this.routes.current?.service(service)?.engine,
      isBarred,
      isLeader,
      term,
      entries,
      topology: new Topology(settings.domains),
      origins: this.origins,
    })
    this.quotas = createQuotaLedger(settings.quota, this.routes, { clock, term, entries })
    this.stageOrders = new StageOrderSender({
      wire,
      allocator: this.allocator,
      sheet: () => this.routes.current?.sheet,
      endpoint: (id) => this.directory.get(id),
      isBarred,
      holder: settings.machine.name,
      isLeader,
      term,
      firstOrderDelayMs: settings.orders.lease_ms + settings.control.election_timeout_ms * 2,
      clock,
      logger,
    })
    this.metrics = createControlMetrics({
      sheetVersion: () => this.newestSheet?.version ?? -1,
      isLeaderKnown: () => this.leader() !== undefined,
      host: this.host,
      directory: this.directory,
      hub: this.hub,
      registrar: this.registrar,
      allocator: this.allocator,
      cold: this.cold,
      limits: this.limits,
      evacuations: this.evacuations,
      origins: this.origins,
      context,
    })
    const { sheetService, registrar } = this
    const evacuations = { evacuations: this.evacuationService, evacuationView: this.evacuations.view }
    const app = createControlApp({ wire, sheetService, ...evacuations, registrar, clock, logger })
    this.ingress = new ControlIngress({ app, clock })
    this.sheetMachine.onNewerSheet = (document) => this.installNewer(document)
  }

  async start(): Promise<void> {
    const { settings, clock, logger } = this.context
    const open = createOpener({ clock, logger, isStopping: () => this.isStopping })
    const listen = () => this.context.settings.listen
    const limits = connectionLimits(settings.connections.descriptors, logger)
    const [address, sharedKey] = [settings.listen.peers, settings.peers.shared_key]
    const served = { address, sharedKey, methods: this.methods(), connections: limits.peers, logger }
    this.peerServer = await open(() => startPeerServer(served))
    const metrics = () => serveMetrics(this.metrics, listen().metrics, limits.metrics)
    this.listeners.push(...(await open(metrics)))
    // Last, so that no start fails after it has accepted a request.
    await open(() => this.ingress.listen(listen().operators!, limits.operators))
    void this.host.start()
    void this.saved.recall()
    void this.crashes.load()
    void this.origins.load()
    this.follower.start()
    this.membership.start()
    this.allocator.start()
    this.cold.start()
    this.limits.start()
    this.crashes.start()
    this.stageOrders.start()
    this.cancelLeaderCheck = every(this.context.clock, LEADER_CHECK_EVERY_MS, () => this.announceLeader())
  }

  /** The replica's status in its group, or undefined while the replica is not running. */
  status(): ReplicaStatus | undefined {
    return this.host.replica?.status()
  }

  /** Applies changed settings and connects to control machines from the new seeds. */
  reload(settings: FleetSettings): void {
    this.context.settings = settings
    this.follower.followNew(seedAddresses(settings))
  }

  /**
   * Hands leadership over, ends the requests in progress and stops.
   * @returns the number of requests cut off.
   */
  async stop(): Promise<number> {
    const { clock, settings, logger, peers } = this.context
    this.isStopping = true
    this.host.replica?.transferLeadership()
    const graceMs = settings.stop.grace_s * SECOND_MS
    const cut = await endRequests({ ingress: this.ingress, graceMs, clock, logger })
    this.cancelLeaderCheck()
    this.membership.stop()
    this.saved.stop()
    this.crashes.stop()
    this.origins.stop()
    this.registrar.stop()
    this.allocator.stop()
    this.cold.stop()
    this.limits.stop()
    this.stageOrders.stop()
    this.follower.stop()
    await this.host.stop().catch(() => undefined)
    this.listeners.forEach((listener) => listener.close())
    await this.peerServer?.close()
    peers.close()
    return cut
  }

  private handleChanged(changed: RegisteredEndpoint[]): void {
    this.saved.update(changed)
    this.origins.update(changed)
    this.cold.refresh(changed)
  }

  private methods(): Record<string, PeerMethod> {
    return {
      ...this.host.methods(),
      ...this.membership.methods(),
      ...this.sheetService.methods(),
      ...this.evacuationService.methods(),
      ...this.allocator.methods(),
      ...this.crashes.methods(),
      ...this.origins.methods(),
      ...this.saved.methods(),
      ...this.limits.methods(),
      ...quotaMethods(this.quotas, () => this.host.replica?.holdsLease === true),
      [WATCH_METHOD]: (request: WatchRequest) => this.hub.answer(request),
      [SHEET_METHOD]: () => this.hub.newestSheet(),
    }
  }

  private installNewer(document: SheetDocument): void {
    if (document.version <= (this.newestSheet?.version ?? -1)) return
    this.newestSheet = document
    const sheet = this.wire.readSheet(document.text)
    if (sheet !== undefined) this.routes.install(sheet)
    this.context.logger.info('sheet.installed', {
      version: document.version,
      routes: sheet?.routes.length ?? 0,
      services: sheet?.services.length ?? 0,
    })
    this.hub.notifyChange()
  }

  private memberAddresses(): Address[] {
    const config = this.host.replica?.config
    if (config === undefined) return []
    return [...new Set([...config.voters, ...config.learners].map((member) => member.address))]
  }

  private controlAddresses(): Address[] {
    const { settings } = this.context
    const all = [...this.memberAddresses(), ...this.follower.addresses(), ...seedAddresses(settings)]
    return [...new Set(all)]
  }

  /** Notifies followers of a new leader at once: until then, entries call the previous one, which places nothing. */
  private announceLeader(): void {
    if (!this.evacuations.view.isConfirmed) this.evacuationService.mergeCommitted()
    const leader = this.leader()
    if (leader === this.announcedLeader) return
    this.announcedLeader = leader
    this.hub.notifyChange()
  }

  private leader(): Address | undefined {
    const { clock, settings } = this.context
    const { replica } = this.host
    return replica && knownLeader(replica, settings.listen.peers, settings.control.election_timeout_ms, clock)
  }
}

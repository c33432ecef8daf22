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
import { ColdEndpoints } from './coldEndpoints'
import { ControlCrashes } from './controlCrashes'
import { ControlLimits } from './controlLimits'
import { createControlApp } from './controlApp'
import { createCrashBook } from './createCrashBook'
import { createGroupHost } from './createGroupHost'
import { createQuotaLedger } from './createQuotaLedger'
import type { ControlWire } from './controlWire'
import { countBy } from './countBy'
import { EvacuationBelief } from './evacuationBelief'
import { EvacuationOffice } from './evacuationOffice'
import { FleetMeters } from './fleetMeters'
import { leaderHeard } from './leaderHeard'
import { listenOn, type Listener } from './listenOn'
import type { MachineBasics } from './machineBasics'
import { membershipRules } from './membershipRules'
import { quotaMethods } from './quotaMethods'
import { Registrar } from './registrar'
import { serveMetrics } from './serveMetrics'
import { EndpointMemory } from './endpointMemory'
import { recallEndpoints } from './endpointRecall'
import { SheetOffice } from './sheetOffice'
import { StageOrders } from './stageOrders'

const GROUP = 'sheet'
/** How long a machine that has been told to stop goes on answering. */
const LAST_ANSWERS_MS = 400
/** How often a machine looks who leads: short beside an election, which takes some hundred milliseconds. */
const LOOK_AT_LEADER_MS = 20

/** A control machine: one replica of the route sheet, the directory of endpoints, operators' calls. */
export class ControlMachine {
  private readonly machine = new SheetStateMachine()
  private readonly directory = new Directory(() => this.basics.clock.now())
  private readonly host: GroupHost<SheetCommand, SheetResult>
  private readonly keeper: MembershipReconciler<SheetCommand, SheetResult>
  private readonly follower: ControlFollower
  private readonly hub: WatchHub
  private readonly office: SheetOffice
  private readonly evacuations: EvacuationOffice
  private readonly belief: EvacuationBelief
  private readonly registrar: Registrar
  private readonly allocator: AllocatorService
  private readonly cold: ColdEndpoints
  private readonly quotas: QuotaLedger
  private readonly limits: ControlLimits
  private readonly orders: StageOrders
  private readonly memory: EndpointMemory
  private readonly crashes: ControlCrashes
  private peerServer: PeerServer | undefined
  private listeners: Listener[] = []
  private readonly meters: FleetMeters
  private newest: SheetDocument | undefined
  private readonly book = new RouteStore()
  private toldLeader: Address | undefined
  private cancelLook: CancelTimer = () => undefined

  constructor(
    private readonly basics: MachineBasics,
    private readonly wire: ControlWire,
  ) {
    const { settings, clock, peers, logger, epoch } = basics
    const self = settings.listen.peers
    this.host = createGroupHost(GROUP, basics, this.machine)
    this.belief = new EvacuationBelief({
      logger,
      onChange: () => this.hub.notifyChange(),
      onWithdrawn: (domain) => this.cold.doubt(domain),
    })
    this.follower = new ControlFollower({
      seeds: () => seedAddresses(basics.settings),
      self,
      peers,
      clock,
      logger,
      holdMs: settings.watch.hold_ms,
      evacuations: () => this.belief.view.current,
      onEvacuations: (set) => this.evacuations.takeHeard(set),
      onSupposedEvacuations: (domains) => this.belief.suppose(domains),
      onCrashes: (records) => this.crashes.apply(records),
      onEndpoints: (records) => this.registrar.take(records),
      isKnown: (raw) => this.directory.isKnown(raw),
    })
    const replicas = () => this.controlAddresses()
    this.keeper = new MembershipReconciler({
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
    const crashBook = createCrashBook(settings.crashes, clock)
    this.hub = new WatchHub({
      crashes: crashBook,
      reserved: () => this.crashes.keptFree,
      epoch,
      directory: this.directory,
      sheet: () => this.newest,
      evacuations: () => this.belief.view.current,
      supposedEvacuations: () => this.evacuations.supposed(),
      members: () => this.memberAddresses(),
      leader: () => this.leader(),
      clock,
    })
    const endpoints = () => this.directory.list()
    const isBarred = ({ zone }: RegisteredEndpoint) => this.belief.view.isEvacuated(zone)
    const isRegistered = (id: string) => this.directory.get(id) !== undefined
    const isLeader = () => this.host.replica?.holdsLease === true
    const folder = settings.machine.data_folder!
    const disk = { folder, files: createFileSystem(), clock, logger }
    this.memory = new EndpointMemory({ ...disk, endpoints })
    const onChange = () => this.hub.notifyChange()
    const crashes = { ...disk, book: crashBook, endpoints, isBarred, isLeader, random: basics.random }
    this.crashes = new ControlCrashes({ ...crashes, onChange })
    this.registrar = new Registrar({
      directory: this.directory,
      hub: this.hub,
      logger,
      isConnected: () => this.leader() !== undefined,
      onChange: (changed) => this.noteEndpoints(changed),
    })
    const client = new GroupClient<SheetCommand, SheetResult>({ group: GROUP, replicas, peers, clock })
    this.cold = new ColdEndpoints({
      directory: this.directory,
      service: (name) => this.book.current?.service(name),
      ...settings.cold,
      onCold: (id) => this.allocator.forgetEngine(id),
      clock,
      logger,
    })
    const replicated = { group: GROUP, host: this.host, machine: this.machine, client, logger }
    this.office = new SheetOffice(replicated)
    this.evacuations = new EvacuationOffice({ ...replicated, belief: this.belief, clock })
    const term = () => this.host.replica?.term ?? 0
    const entries = () => this.hub.countEntries()
    this.limits = new ControlLimits({ clock, logger, term, isLeader, isRegistered })
    this.allocator = new AllocatorService({
      cold: this.cold,
      limits: this.limits.policy,
      clock,
      logger,
      endpoints,
      engine: (service) => this.book.current?.service(service)?.engine,
      isBarred,
      isLeader,
      term,
      entries,
      topology: new Topology(settings.domains),
    })
    this.quotas = createQuotaLedger(settings.quota, this.book, { clock, term, entries })
    this.orders = new StageOrders({
      wire,
      allocator: this.allocator,
      sheet: () => this.book.current?.sheet,
      endpoint: (id) => this.directory.get(id),
      isBarred,
      holder: settings.machine.name,
      isLeader,
      term,
      leadFirstMs: settings.orders.lease_ms + settings.control.election_timeout_ms * 2,
      clock,
      logger,
    })
    this.meters = this.createMeters()
    this.machine.onNewerSheet = (document) => this.noteNewer(document)
    this.machine.onEvacuations = () => this.evacuations.takeCommitted()
  }

  async start(): Promise<void> {
    const { settings, logger } = this.basics
    this.peerServer = await startPeerServer({
      address: settings.listen.peers,
      sharedKey: settings.peers.shared_key,
      methods: this.methods(),
      logger,
    })
    const app = createControlApp({
      wire: this.wire,
      office: this.office,
      evacuations: this.evacuations,
      evacuationView: this.belief.view,
      registrar: this.registrar,
      logger,
    })
    this.listeners = [
      await listenOn(app, settings.listen.operators!),
      ...(await serveMetrics(this.meters, settings.listen.metrics)),
    ]
    void this.host.start()
    void this.recall()
    void this.crashes.recall()
    this.follower.start()
    this.keeper.start()
    this.allocator.start()
    this.cold.start()
    this.limits.start()
    this.crashes.start()
    this.orders.start()
    this.cancelLook = every(this.basics.clock, LOOK_AT_LEADER_MS, () => this.tellOfLeader())
  }

  /** This machine's place in the group, once it has one. */
  status(): ReplicaStatus | undefined {
    return this.host.replica?.status()
  }

  /** Takes changed settings: new seeds to begin with. */
  reload(settings: FleetSettings): void {
    this.basics.settings = settings
    this.follower.followNew(seedAddresses(settings))
  }

  /** Hands leadership over and stops. Holds no requests that it could cut off. */
  async stop(): Promise<number> {
    const { clock, peers } = this.basics
    this.host.replica?.transferLeadership()
    await new Promise<void>((resolve) => clock.after(LAST_ANSWERS_MS, resolve))
    this.cancelLook()
    this.keeper.stop()
    this.memory.stop()
    this.crashes.stop()
    this.allocator.stop()
    this.cold.stop()
    this.limits.stop()
    this.orders.stop()
    this.follower.stop()
    await this.host.stop().catch(() => undefined)
    this.listeners.forEach((listener) => listener.close())
    await this.peerServer?.close()
    peers.close()
    return 0
  }

  /** Finds the endpoints of the time before this start. */
  private async recall(): Promise<void> {
    const { clock, logger } = this.basics
    await recallEndpoints(await this.memory.recall(), {
      wire: this.wire,
      service: (name) => this.book.current?.service(name),
      isKnown: (id) => this.directory.get(id) !== undefined,
      onReady: (endpoint) => this.registrar.take([endpoint]),
      clock,
      logger,
    })
  }

  private noteEndpoints(changed: RegisteredEndpoint[]): void {
    this.memory.noteChange()
    this.cold.look(changed)
  }

  private createMeters(): FleetMeters {
    const { logBudget } = this.basics
    return new FleetMeters({
      sheet_version: () => this.newest?.version ?? -1,
      endpoints: () =>
        countBy(this.directory.list().map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
      endpoints_cold: () => this.cold.count,
      endpoints_limited: () => this.limits.count,
      registrations_refused: () => this.registrar.refused,
      leads: () => Number(this.host.replica?.leads === true),
      evacuated_domains: () => this.belief.view.current.domains.length,
      leader_known: () => Number(this.leader() !== undefined),
      term: () => this.host.replica?.term ?? -1,
      voters: () => this.host.replica?.config.voters.length ?? 0,
      entries: () => this.hub.countEntries(),
      places_taken: () => this.allocator.holdCount,
      places_waited_for: () => this.allocator.waitingCount,
      log_lines_omitted: () => logBudget.omittedTotal,
    })
  }

  private methods(): Record<string, PeerMethod> {
    return {
      ...this.host.methods(),
      ...this.keeper.methods(),
      ...this.office.methods(),
      ...this.evacuations.methods(),
      ...this.allocator.methods(),
      ...this.crashes.methods(),
      ...this.limits.methods(),
      ...quotaMethods(this.quotas, () => this.host.replica?.holdsLease === true),
      [WATCH_METHOD]: (question: WatchRequest) => this.hub.answer(question),
      [SHEET_METHOD]: () => this.hub.newestSheet(),
    }
  }

  private noteNewer(document: SheetDocument): void {
    if (document.version <= (this.newest?.version ?? -1)) return
    this.newest = document
    const sheet = this.wire.readSheet(document.text)
    if (sheet !== undefined) this.book.install(sheet)
    this.basics.logger.info('sheet.installed', {
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
    const { settings } = this.basics
    const all = [...this.memberAddresses(), ...this.follower.addresses(), ...seedAddresses(settings)]
    return [...new Set(all)]
  }

  /** Entries that wait for news hear of another leader at once: until then they ask one that places no more. */
  private tellOfLeader(): void {
    if (!this.belief.view.isConfirmed) this.evacuations.takeCommitted()
    const leader = this.leader()
    if (leader === this.toldLeader) return
    this.toldLeader = leader
    this.hub.notifyChange()
  }

  private leader(): Address | undefined {
    const { clock, settings } = this.basics
    const { replica } = this.host
    return replica && leaderHeard(replica, settings.listen.peers, settings.control.election_timeout_ms, clock)
  }
}

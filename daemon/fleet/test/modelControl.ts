import { AllocatorService, PLACE } from '@forkstage/allocator'
import type { ManualClock, Random } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { EvacuationView } from '@forkstage/evacuation'
import { createSilentLogger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { FileSystem } from '@forkstage/storage'
import type { Address } from '@forkstage/types'
import { ControlFollower, WATCH_METHOD, WatchHub, type WatchRequest } from '@forkstage/watch'
import { ENGINE } from '../../../request/gateway/test/rowsWithDefaults'
import { ControlOrigins } from '../src/controlOrigins'
import { Registrar } from '../src/registrar'
import { MachineClock } from './machineClock'
import type { ModelElection } from './modelElection'
import type { ModelNetwork, NetworkMachine } from './modelNetwork'

/** What the machines of a model share. */
export interface ModelParts {
  clock: ManualClock
  network: ModelNetwork
  election: ModelElection
  random: Random
}

export const HOLD_MS = 1_000

/** A control machine: its directory, hub, follower and origins, and the leader's answers. */
export class ModelControl implements NetworkMachine {
  readonly clock: MachineClock
  incarnation = 0
  methods: Record<string, PeerMethod> = {}
  private readonly disk = new Map<string, Buffer>()
  private registrar: Registrar | undefined
  private stopParts: () => void = () => undefined

  constructor(
    readonly address: Address,
    private readonly members: Address[],
    private readonly parts: ModelParts,
  ) {
    this.clock = new MachineClock(parts.clock)
    parts.network.add(this)
  }

  /** Registers an engine here. */
  register(endpoint: RegisteredEndpoint): void {
    void this.registrar?.register(endpoint)
  }

  /** Starts a process, which ends the one before; only its disk remains. */
  start(): void {
    this.stopParts()
    const isFounding = this.incarnation === 0
    this.incarnation += 1
    const { clock, address, incarnation, members } = this
    const { network, election, random } = this.parts
    const logger = createSilentLogger()
    const peers = network.callerFor(this)
    const others = members.filter((member) => member !== address)
    const directory = new Directory(() => clock.now())
    const origins = new ControlOrigins({
      clock,
      logger,
      folder: 'data',
      files: this.files(incarnation),
      isFounding,
      others: () => others,
      peers,
    })
    const view = new EvacuationView()
    const hub = new WatchHub({
      epoch: `${address}-${incarnation}`,
      directory,
      sheet: () => undefined,
      evacuations: () => view.current,
      supposedEvacuations: () => [],
      members: () => members,
      leader: () => election.leaderKnownBy(address),
      clock,
    })
    const leader = () => election.leaderKnownBy(address)
    const registrar = new Registrar({
      directory,
      hub,
      logger,
      persist: () => Promise.resolve(true),
      isConnected: () => leader() !== undefined,
      onChange: (changed) => origins.update(changed),
      versions: { self: address, leader, origins, peers, clock },
    })
    this.registrar = registrar
    const follower = new ControlFollower({
      seeds: () => members,
      self: address,
      peers,
      clock,
      logger,
      holdMs: HOLD_MS,
      evacuations: () => view.current,
      onEvacuations: () => undefined,
      onSupposedEvacuations: () => undefined,
      onEndpoints: (records) => registrar.merge(records),
      isKnown: (raw) => directory.isKnown(raw),
    })
    const allocator = new AllocatorService({
      clock,
      logger,
      endpoints: () => directory.list(),
      engine: () => ENGINE,
      isLeader: () => election.holdsLease(address),
      term: () => election.term,
      entries: () => hub.countEntries(),
      origins,
    })
    const place = () => {
      if (!election.holdsLease(address)) throw new Error('not the leader')
      const engines = directory.list().filter(({ state }) => state === 'ready')
      return engines[Math.floor(random() * engines.length)]?.id ?? null
    }
    this.methods = {
      ...allocator.methods(),
      ...origins.methods(),
      [PLACE.ask]: place,
      [WATCH_METHOD]: (request: WatchRequest) => hub.answer(request),
    }
    this.stopParts = () => {
      follower.stop()
      origins.stop()
      registrar.stop()
      allocator.stop()
    }
    void origins.load()
    follower.start()
    allocator.start()
  }

  /** A disk that only the present process writes to. */
  private files(incarnation: number): FileSystem {
    const { disk } = this
    const files: Partial<FileSystem> = {
      makeFolder: () => Promise.resolve(),
      list: () => Promise.resolve([...disk.keys()].map((path) => path.slice('data/'.length))),
      read: (path) => Promise.resolve(disk.get(path)!),
      replace: (path, bytes) => {
        if (incarnation === this.incarnation) disk.set(path, Buffer.from(bytes))
        return Promise.resolve()
      },
    }
    return files as FileSystem
  }
}

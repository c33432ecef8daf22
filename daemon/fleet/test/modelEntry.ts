import { PLACE } from '@forkstage/allocator'
import { every } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { EvacuationView } from '@forkstage/evacuation'
import { RemotePlacer, type LeaderClient, type OriginClient } from '@forkstage/gateway'
import { createSilentLogger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import { ControlFollower } from '@forkstage/watch'
import { createLeaderClient } from '../src/createLeaderClient'
import { createOriginClient } from '../src/createOriginClient'
import type { MachineContext } from '../src/machineContext'
import { MachineClock } from './machineClock'
import { HOLD_MS, type ModelParts } from './modelControl'
import type { NetworkMachine } from './modelNetwork'

const PLACE_WITHIN_MS: Millis = 400
const SWEEP_EVERY_MS: Millis = 1_000

/** An entry: its follower, directory, leader client and origins. */
export class ModelEntry implements NetworkMachine {
  readonly clock: MachineClock
  incarnation = 0
  methods: Record<string, PeerMethod> = {}
  origins!: OriginClient
  private leaderClient!: LeaderClient
  private directory!: Directory
  private stopParts: () => void = () => undefined

  constructor(
    readonly address: Address,
    private readonly controls: Address[],
    private readonly parts: ModelParts,
  ) {
    this.clock = new MachineClock(parts.clock)
    parts.network.add(this)
  }

  /** Starts a process, which ends the one before: all that it knew is lost. */
  start(): void {
    this.stopParts()
    this.incarnation += 1
    const { clock, address, controls } = this
    const logger = createSilentLogger()
    const peers = this.parts.network.callerFor(this)
    const directory = new Directory(() => clock.now())
    const view = new EvacuationView()
    const follower: ControlFollower = new ControlFollower({
      seeds: () => controls,
      entry: address,
      peers,
      clock,
      logger,
      holdMs: HOLD_MS,
      evacuations: () => view.current,
      onEvacuations: () => undefined,
      onSupposedEvacuations: () => undefined,
      onEndpoints: (records) => {
        const changed = directory.merge(records)
        if (changed.length > 0) this.origins.update(changed)
      },
      isKnown: (raw) => directory.isKnown(raw),
    })
    const context = { peers, clock, logger } as unknown as MachineContext
    this.directory = directory
    this.leaderClient = createLeaderClient(context, follower)
    this.origins = createOriginClient(this.leaderClient, follower, clock)
    this.methods = this.leaderClient.methods()
    const { leaderClient, origins } = this
    const never = undefined as never
    const placer = new RemotePlacer({
      entry: address,
      pool: never,
      fallback: never,
      leaderClient,
      origins,
      clock,
      logger,
    })
    const cancelSweep = every(clock, SWEEP_EVERY_MS, () => origins.sweep())
    this.stopParts = () => {
      follower.stop()
      placer.stop()
      origins.stop()
      cancelSweep()
    }
    follower.start()
    placer.start()
  }

  /** Returns the engine for a new stream: the leader's choice, or one that this entry knows if no leader answers. */
  async place(): Promise<RegisteredEndpoint | undefined> {
    const { directory, leaderClient, incarnation } = this
    const id = await leaderClient.tryCall<string | null>(PLACE.ask, {}, PLACE_WITHIN_MS)
    if (incarnation !== this.incarnation) return undefined
    const ready = directory.list().filter(({ state }) => state === 'ready')
    const placed = ready.find((one) => one.id === id)
    return placed ?? ready[Math.floor(this.parts.random() * ready.length)]
  }
}

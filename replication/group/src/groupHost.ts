import { delay, type Clock, type Random } from '@forkstage/clock'
import { ForkstageError, InvariantError, toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { ConfigChange, GroupConfig, Member } from '@forkstage/raft'
import {
  DamagedLogError,
  openReplicaStorage,
  type FileSystem,
  type ReplicaStorage,
  type StoredReplica,
} from '@forkstage/storage'
import type { Address, BoxId, FailureDomain, Millis } from '@forkstage/types'
import { FoundingRounds, type IdentityAnswer } from './founding'
import { NotLeaderError } from './groupErrors'
import { GroupReplica } from './groupReplica'
import { decodeMessage, encodeMessage } from './messageCodec'
import type { StateMachine } from './stateMachine'

/** Options of {@link GroupHost}. */
export interface GroupHostOptions<Command, Result> {
  group: string
  box: BoxId
  address: Address
  /** The failure domain of this machine; absent if the deployment names none. */
  domain?: FailureDomain
  folder: string
  /** The addresses of the first replicas; used only to found the group or to find it. */
  firstReplicas: { address: Address }[]
  /**
   * Whether this replica may found the group; if false, it waits until others have founded the group. The disk remembers
   * it, so that a replica that is restarted before the group is founded may still found it.
   */
  mayFound?: boolean
  /** Delay before the disk is opened again after a failure; if absent, the replica stays stopped until a restart. */
  reopenAfter?: Millis
  machine: StateMachine<Command, Result>
  peers: PeerCaller
  clock: Clock
  random: Random
  logger: Logger
  electionTimeout: Millis
  heartbeat: Millis
  snapshotEvery: number
  fileSystem?: FileSystem
}

const IDENTITY_RETRY_MS = 150
const IDENTITY_DEADLINE_MS = 1_000

/** Raised when this box has no running replica of the group. */
export class ReplicaNotRunningError extends ForkstageError {
  constructor(group: string) {
    super(
      'FORKSTAGE_REPLICA_NOT_RUNNING',
      `This box has no running replica of ${group}.`,
      'Run "forkstage status" to see the state of the replica.',
      {
        step: 'find replica',
      },
    )
  }
}

/** Starts this box's replica of a group: opens the disk, founds or joins the group, and serves the peers' calls. */
export class GroupHost<Command, Result> {
  private runningReplica: GroupReplica<Command, Result> | undefined
  private opened: { storage: ReplicaStorage; stored: StoredReplica } | undefined
  /** The founding that this replica has heard of and will start from. */
  private heardFounding: GroupConfig | undefined
  private stopped = false
  /** The error that stopped the replica; undefined unless the replica has failed. */
  failure: unknown

  constructor(private readonly options: GroupHostOptions<Command, Result>) {}

  get replica(): GroupReplica<Command, Result> | undefined {
    return this.runningReplica
  }

  /** This replica as a member of the group; undefined until its disk is open. */
  get member(): Member | undefined {
    return this.opened === undefined ? undefined : this.self()
  }

  /** Returns the running replica. @throws ReplicaNotRunningError if there is none. */
  require(): GroupReplica<Command, Result> {
    if (this.runningReplica === undefined) throw new ReplicaNotRunningError(this.options.group)
    return this.runningReplica
  }

  /** Returns the running replica if it is the leader. @throws NotLeaderError that names the leader, if known. */
  private requireLeader(): GroupReplica<Command, Result> {
    const replica = this.require()
    if (!replica.leads) throw new NotLeaderError(this.options.group, replica.leaderAddress)
    return replica
  }

  /** The methods that other boxes call, each prefixed with the group's name. */
  methods(): Record<string, PeerMethod> {
    const { group } = this.options
    return {
      [`${group}.message`]: (params: { from: Member; message: unknown }) =>
        this.runningReplica?.receive(params.from, decodeMessage(params.message)),
      [`${group}.identity`]: () => this.identity(),
      [`${group}.propose`]: (params: { command: Command }) => this.require().propose(params.command),
      [`${group}.reconfigure`]: (params: { change: ConfigChange }) =>
        this.requireLeader().reconfigure(params.change),
      [`${group}.leaderStatus`]: () => this.requireLeader().status(),
    }
  }

  /** Opens the disk, founds or joins the group, and starts the replica. Errors are logged and kept in `failure`. */
  async start(): Promise<void> {
    const { group, folder, fileSystem, mayFound, logger } = this.options
    try {
      this.opened = await openReplicaStorage(folder, { fileSystem, mayFound })
      if (this.opened.stored.snapshot === undefined) await this.foundOrJoin(this.opened.stored)
      if (!this.stopped) this.startReplica()
      this.failure = undefined
    } catch (error) {
      this.failure = error
      logger.error('replica.refused', { group, reason: 'the replica cannot start', ...toErrorBody(error) })
      void this.reopen(error)
    }
  }

  /** After a disk failure, starts the replica again from the disk, unless the error is permanent. */
  private async reopen(error: unknown): Promise<void> {
    const { reopenAfter, clock } = this.options
    if (reopenAfter === undefined || isPermanent(error)) return
    await this.opened?.storage.close().catch(() => undefined)
    await delay(clock, reopenAfter)
    if (!this.stopped) await this.start()
  }

  async stop(): Promise<void> {
    this.stopped = true
    if (this.runningReplica !== undefined) await this.runningReplica.stop()
    else await this.opened?.storage.close().catch(() => undefined)
  }

  private identity(): IdentityAnswer {
    if (this.opened === undefined) throw new ReplicaNotRunningError(this.options.group)
    const self = this.self()
    const { identity, snapshot: started } = this.opened.stored
    return {
      ...self,
      mayFound: identity.mayFound,
      founding: started?.meta.config ?? this.heardFounding,
      config: this.runningReplica?.config,
    }
  }

  private self(): Member {
    const { box, address, domain } = this.options
    return { replica: this.opened!.stored.identity.replica, box, address, domain }
  }

  /** Waits until the group has been founded with this replica, or exists without it, and saves the start state. */
  private async foundOrJoin(stored: StoredReplica): Promise<void> {
    const rounds = new FoundingRounds()
    while (!this.stopped) {
      const decision = rounds.decide(this.self(), await this.fetchIdentities())
      if (decision.type === 'found') return this.saveFounding(stored, decision.config)
      if (decision.type === 'join') return this.saveFounding(stored, { voters: [], learners: [] })
      if (decision.type === 'wait') await delay(this.options.clock, IDENTITY_RETRY_MS)
    }
  }

  private fetchIdentities(): Promise<(IdentityAnswer | undefined)[]> {
    const { group, firstReplicas, address, peers } = this.options
    const asked = firstReplicas.map((first) => {
      if (first.address === address) return Promise.resolve(this.identity())
      const answer = peers.call<IdentityAnswer>(
        first.address,
        `${group}.identity`,
        {},
        { deadline: IDENTITY_DEADLINE_MS, step: 'found group' },
      )
      return answer.catch(() => undefined)
    })
    return Promise.all(asked.map(async (one) => this.recordFounding(await one)))
  }

  /**
   * Records a founding that includes this replica as soon as it is heard of, since others ask meanwhile: the replica that
   * named it may be gone when this one starts from it.
   */
  private recordFounding(answer: IdentityAnswer | undefined): IdentityAnswer | undefined {
    const { replica } = this.self()
    const isIncluded = answer?.founding?.voters.some((voter) => voter.replica === replica) === true
    if (isIncluded) this.heardFounding ??= answer.founding
    return answer
  }

  private async saveFounding(stored: StoredReplica, config: GroupConfig): Promise<void> {
    const { group, machine, logger } = this.options
    const snapshot = { meta: { index: 0, term: 0, config, configIndex: 0 }, data: machine.snapshot() }
    await this.opened!.storage.saveSnapshot(snapshot, stored.hardState, [])
    stored.snapshot = snapshot
    const voters = config.voters.map((voter) => voter.box)
    logger.info('replica.founded', { group, replica: stored.identity.replica, voters })
  }

  private startReplica(): void {
    const { group, peers } = this.options
    const self = this.self()
    this.runningReplica = new GroupReplica({
      ...this.options,
      ...this.opened!,
      self,
      send: (to, message) =>
        peers.notify(to.address, `${group}.message`, { from: self, message: encodeMessage(message) }),
      onFailure: (error) => this.fail(error),
    })
  }

  private fail(error: unknown): void {
    this.failure = error
    this.runningReplica = undefined
    void this.reopen(error)
    this.options.logger.error('replica.refused', {
      group: this.options.group,
      reason: 'the replica has stopped',
      ...toErrorBody(error),
    })
  }
}

/** Whether the error would persist if the disk were opened again. */
function isPermanent(error: unknown): boolean {
  return error instanceof InvariantError || error instanceof DamagedLogError
}

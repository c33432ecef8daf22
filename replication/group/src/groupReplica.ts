import { every, type CancelTimer, type Clock, type Random } from '@forkstage/clock'
import { InvariantError, toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import {
  createRaft,
  leaseSince,
  leaseUntil,
  stepRaft,
  type ConfigChange,
  type Effect,
  type GroupConfig,
  type LogEntry,
  type Member,
  type Message,
  type RaftEvent,
  type RaftState,
  type ReplicaId,
  type Role,
} from '@forkstage/raft'
import type { ReplicaStorage, StoredReplica } from '@forkstage/storage'
import type { Address, Millis } from '@forkstage/types'
import { NotLeaderError, OutcomeUnknownError } from './groupErrors'
import { PersistQueue } from './persistQueue'
import type { StateMachine } from './stateMachine'

/** Options of {@link GroupReplica}. */
export interface GroupReplicaOptions<Command, Result> {
  group: string
  self: Member
  stored: StoredReplica
  storage: ReplicaStorage
  machine: StateMachine<Command, Result>
  clock: Clock
  random: Random
  logger: Logger
  electionTimeout: Millis
  heartbeat: Millis
  /** Number of applied entries after which a snapshot is taken. */
  snapshotEvery: number
  send: (to: Member, message: Message) => void
  /** Called once an error has stopped the replica. */
  onFailure: (error: unknown) => void
}

interface Waiter<Result> {
  term: number
  resolve: (result: Result) => void
  reject: (error: unknown) => void
}

/** The state of a replica and its group, for status pages. */
export interface ReplicaStatus {
  group: string
  replica: ReplicaId
  role: Role
  term: number
  leader: ReplicaId | null
  commitIndex: number
  lastIndex: number
  config: GroupConfig
  /** The last synced index of each other replica; empty unless this replica is the leader. */
  matches: Record<ReplicaId, number>
}

const MAX_ENTRIES_PER_MESSAGE = 512
const MAX_IN_FLIGHT = 8

/** One replica of one group: connects Raft to the disk, the timers, the messages and the state machine. */
export class GroupReplica<Command, Result> {
  private readonly state: RaftState
  private readonly queue: PersistQueue
  private readonly waiters = new Map<number, Waiter<Result>>()
  private proposals: { command: Command; waiter: Omit<Waiter<Result>, 'term'> }[] = []
  private cancelTicks: CancelTimer
  private readonly startedAt: Millis
  private stopped = false
  private snapshotPending = false

  constructor(private readonly options: GroupReplicaOptions<Command, Result>) {
    const { stored, self, clock, random, electionTimeout, heartbeat } = options
    const snapshot = stored.snapshot
    if (snapshot === undefined) throw new InvariantError('a replica starts from a snapshot', options.group)
    options.machine.restore(snapshot.data)
    this.startedAt = clock.now()
    this.state = createRaft({
      replica: self.replica,
      random,
      hardState: stored.hardState,
      snapshot,
      entries: stored.entries,
      now: this.startedAt,
      electionTimeout,
      heartbeat,
      maxEntriesPerMessage: MAX_ENTRIES_PER_MESSAGE,
      maxInFlight: MAX_IN_FLIGHT,
    })
    this.queue = new PersistQueue({
      storage: options.storage,
      onPersisted: (last) => this.step({ type: 'persisted', ...last }),
      onSnapshot: (saved, bytes) => this.finishSnapshot(saved.meta.index, bytes),
      onFailure: (error) => this.fail(error),
    })
    this.cancelTicks = every(clock, heartbeat / 2, () => this.step({ type: 'tick' }))
  }

  /** The newest configuration that this replica has, committed or not. */
  get config(): GroupConfig {
    return this.state.log.config
  }

  get configIndex(): number {
    return this.state.log.configIndex
  }

  get committedConfigIndex(): number {
    return this.state.log.configAt(this.state.commitIndex).index
  }

  get leads(): boolean {
    return this.state.role === 'leader'
  }

  get term(): number {
    return this.state.term
  }

  get leaderSince(): Millis {
    return this.state.leaderSince
  }

  /** Whether no other replica can have become leader, so that the state committed here is the newest. */
  get holdsLease(): boolean {
    const { clock } = this.options
    const committedInTerm = this.state.log.termAt(this.state.commitIndex) === this.state.term
    // A lease may expire unnoticed while the machine is suspended: only messages sent since then renew it.
    const isSeen = leaseSince(this.state) >= clock.suspendedAt()
    return this.leads && committedInTerm && isSeen && leaseUntil(this.state) > clock.now()
  }

  /**
   * Whether this replica knows of all commits of earlier terms: it has had contact with a leader since it started,
   * and knows of a commit in the current term.
   */
  get knowsCommitted(): boolean {
    const hadLeaderContact = this.leads || this.state.leaderContactAt > this.startedAt
    return hadLeaderContact && this.state.log.termAt(this.state.commitIndex) === this.state.term
  }

  /** The entries of the log that are not known to be committed. */
  get uncommitted(): LogEntry[] {
    return this.state.log.slice(this.state.commitIndex + 1, this.state.log.lastIndex)
  }

  /** When a leader last made contact with this replica. */
  get leaderContactAt(): Millis {
    return this.state.leaderContactAt
  }

  /** For each other replica, the sending time of the newest message it replied to; empty unless this one leads. */
  ackedSentAt(): Record<ReplicaId, Millis> {
    const ackedSentAt = [...this.state.progress].map(
      ([replica, progress]) => [replica, progress.ackedSentAt] as const,
    )
    return Object.fromEntries(ackedSentAt)
  }

  get leaderAddress(): Address | undefined {
    const { voters } = this.state.log.config
    return voters.find((voter) => voter.replica === this.state.leader)?.address
  }

  status(): ReplicaStatus {
    const { state } = this
    const matches = [...state.progress].map(([replica, progress]) => [replica, progress.match] as const)
    return {
      group: this.options.group,
      replica: state.replica,
      role: state.role,
      term: state.term,
      leader: state.leader,
      commitIndex: state.commitIndex,
      lastIndex: state.log.lastIndex,
      config: state.log.config,
      matches: Object.fromEntries(matches),
    }
  }

  /**
   * Proposes a command and returns the result of applying it, once a majority has synced it.
   * @throws NotLeaderError if nothing was proposed; OutcomeUnknownError if the command may still take effect.
   */
  propose(command: Command): Promise<Result> {
    if (!this.leads || this.stopped)
      return Promise.reject(new NotLeaderError(this.options.group, this.leaderAddress))
    return new Promise((resolve, reject) => {
      this.proposals.push({ command, waiter: { resolve, reject } })
      // All commands of one turn of the event loop are sent and synced together.
      if (this.proposals.length === 1) setImmediate(() => this.flushProposals())
    })
  }

  /** Proposes a change of the group by one replica and returns without waiting until it is committed. */
  reconfigure(change: ConfigChange): void {
    this.step({ type: 'reconfigure', change })
  }

  receive(from: Member, message: Message): void {
    this.step({ type: 'message', from, message })
  }

  /** Transfers leadership to another replica if this one is the leader; part of a planned stop. */
  transferLeadership(): void {
    this.step({ type: 'transfer' })
  }

  async stop(): Promise<void> {
    if (this.stopped) return
    this.halt()
    await new Promise<void>((resolve) => this.queue.afterSync(resolve))
    await this.options.storage.close()
  }

  private halt(): void {
    this.stopped = true
    this.cancelTicks()
    const waiting = [...this.waiters.values()]
    this.waiters.clear()
    waiting.forEach((waiter) =>
      waiter.reject(new OutcomeUnknownError(this.options.group, 'the replica stopped')),
    )
  }

  private fail(error: unknown): void {
    if (this.stopped) return
    this.halt()
    this.options.onFailure(error)
  }

  private step(event: RaftEvent): LogEntry[] {
    if (this.stopped) return []
    try {
      const { effects, proposed } = stepRaft(this.state, event, this.options.clock.now())
      effects.forEach((effect) => this.perform(effect))
      return proposed
    } catch (error) {
      if (!(error instanceof InvariantError)) throw error
      const { group, logger } = this.options
      logger.error('replica.invariant', { group, ...toErrorBody(error) })
      this.fail(error)
      return []
    }
  }

  private flushProposals(): void {
    const proposals = this.proposals.splice(0)
    const entries = this.step({ type: 'propose', commands: proposals.map((proposal) => proposal.command) })
    proposals.forEach(({ waiter }, position) => {
      const entry = entries[position]
      if (entry === undefined) waiter.reject(new NotLeaderError(this.options.group, this.leaderAddress))
      else this.waiters.set(entry.index, { ...waiter, term: entry.term })
    })
  }

  private perform(effect: Effect): void {
    const { group, self, logger, send } = this.options
    switch (effect.type) {
      case 'persist':
        return this.queue.persist(effect)
      case 'saveSnapshot':
        return this.queue.saveSnapshot(effect.snapshot, this.hardState(), [])
      case 'send':
        if (effect.afterPersist) return this.queue.afterSync(() => send(effect.to, effect.message))
        return send(effect.to, effect.message)
      case 'apply':
        return this.apply(effect.entries)
      case 'restore':
        return this.options.machine.restore(effect.snapshot.data)
      case 'role':
        logger.info('replica.role', { group, replica: self.replica, role: effect.role, term: effect.term })
        return
      case 'staleDisk':
        logger.error('replica.refused', { group, reason: 'this disk has lost acknowledged entries' })
        return this.fail(new InvariantError('a disk keeps the entries that it acknowledged', group))
      case 'memberLostData':
        logger.error('replica.refused', {
          group,
          reason: `replica ${effect.replica} lost acknowledged entries`,
        })
    }
  }

  private apply(entries: LogEntry[]): void {
    for (const entry of entries) {
      const result =
        entry.kind === 'command' ? this.options.machine.apply(entry.data as Command, entry.index) : undefined
      this.settleWaiter(entry, result as Result)
    }
    this.takeSnapshotIfDue()
  }

  private settleWaiter(entry: LogEntry, result: Result): void {
    const waiter = this.waiters.get(entry.index)
    if (waiter === undefined) return
    this.waiters.delete(entry.index)
    if (waiter.term === entry.term) waiter.resolve(result)
    else waiter.reject(new OutcomeUnknownError(this.options.group, 'another leader took over'))
  }

  private takeSnapshotIfDue(): void {
    const { state } = this
    const due = state.appliedIndex - state.log.snapshot.index >= this.options.snapshotEvery
    if (!due || this.snapshotPending) return
    this.snapshotPending = true
    const { index: configIndex, config } = state.log.configAt(state.appliedIndex)
    const term = state.log.termAt(state.appliedIndex)!
    const meta = { index: state.appliedIndex, term, config, configIndex }
    const snapshot = { meta, data: this.options.machine.snapshot() }
    const rest = state.log.slice(state.appliedIndex + 1, state.log.lastIndex)
    this.queue.saveSnapshot(snapshot, this.hardState(), rest)
    this.step({ type: 'compacted', snapshot })
  }

  private finishSnapshot(index: number, bytes: number): void {
    this.snapshotPending = false
    this.options.logger.info('replica.snapshot', { group: this.options.group, index, bytes })
  }

  private hardState() {
    return { term: this.state.term, votedFor: this.state.votedFor }
  }
}

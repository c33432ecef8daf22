import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { HeartbeatAnswer, HeartbeatRequest, BoxInfo, Members } from '@forkstage/control'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller } from '@forkstage/peer-rpc'
import { digestTable } from '@forkstage/table'
import type { Address, Millis, VersionedTable } from '@forkstage/types'
import { createLeaseState, knownNewestSince, applyAnswer, type LeaseState } from './leaseState'

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  /** Describes this box; called for every heartbeat. */
  self: () => BoxInfo
  /** Addresses of the initial control replicas. */
  firstReplicas: Address[]
  peers: PeerCaller
  clock: Clock
  logger: Logger
  tableLease: Millis
  heartbeatEvery: Millis
  onTable: (table: VersionedTable) => void
  onMembers: (members: Members) => void
}

/** Interval of heartbeats while the box cannot accept work. */
const UNREADY_HEARTBEAT_MS = 200

/** Keeps this box's table and its lease up to date with heartbeats to every control replica. */
export class TableFollower {
  private readonly state: LeaseState
  private cancel: CancelTimer = () => undefined
  private heldLease = false
  private lastSentAt: Millis = -Infinity
  /** When a leader last answered. After a while without an answer, every replica is asked for the table. */
  private leaderAnsweredAt = -Infinity
  private leaderAddress: Address | undefined

  constructor(private readonly options: TableFollowerOptions) {
    const table = { endpoints: [], links: [] }
    this.state = createLeaseState({ version: 0, digest: digestTable(table), table })
  }

  get table(): VersionedTable {
    return this.state.table
  }

  get members(): Members {
    return this.state.members
  }

  /** Addresses of the control replicas: the voters of the newest configuration and the initial replicas. */
  get replicas(): Address[] {
    const voters = this.state.config?.voters.map((voter) => voter.address) ?? []
    return [...new Set([...voters, ...this.options.firstReplicas])]
  }

  /** Until when new work may be accepted on the current table, by the box's clock. */
  get leaseUntil(): Millis {
    return knownNewestSince(this.state) + this.options.tableLease
  }

  /** Whether the lease allows new work now. */
  holdsLease(): boolean {
    return this.state.table.version > 0 && this.options.clock.now() < this.leaseUntil
  }

  start(): void {
    this.sendHeartbeats()
    const { clock, heartbeatEvery } = this.options
    this.cancel = every(clock, Math.min(heartbeatEvery, UNREADY_HEARTBEAT_MS), () =>
      this.sendHeartbeatsIfDue(),
    )
  }

  stop(): void {
    this.cancel()
  }

  /** Requests the table at once if a version is newer than the current one. */
  fetchIfNewer(version: number): void {
    if (version <= this.state.table.version) return
    // Only the leader is certain to have the version, and only its answer renews the lease at once.
    if (this.leaderAddress === undefined) this.sendHeartbeats()
    else void this.sendHeartbeat(this.leaderAddress)
  }

  /**
   * Sends heartbeats at their interval, and more often without a lease or a list of boxes, as after a
   * restart.
   */
  private sendHeartbeatsIfDue(): void {
    const isUnready = !this.holdsLease() || this.state.members.version[0] === 0
    if (isUnready || this.options.clock.now() - this.lastSentAt >= this.options.heartbeatEvery)
      this.sendHeartbeats()
  }

  private sendHeartbeats(): void {
    this.lastSentAt = this.options.clock.now()
    this.logLeaseChange()
    for (const address of this.replicas) void this.sendHeartbeat(address)
  }

  private async sendHeartbeat(address: Address): Promise<void> {
    const { peers, clock, tableLease } = this.options
    const sentAt = clock.now()
    try {
      const answer = await peers.call<HeartbeatAnswer>(address, 'control.ask', this.createRequest(sentAt), {
        deadline: tableLease,
        step: 'renew table lease',
      })
      if (answer.holdsLease) this.leaderAddress = address
      this.handleAnswer(answer, sentAt)
    } catch {
      if (this.leaderAddress === address) this.leaderAddress = undefined
      // The next heartbeat retries. The lease expires if too few replicas answer.
    }
  }

  private createRequest(now: Millis): HeartbeatRequest {
    const { table, configIndex, members } = this.state
    return {
      box: this.options.self(),
      version: table.version,
      configIndex,
      membersVersion: members.version,
      leaseLeft: Math.max(0, this.leaseUntil - now),
      wantUpdate: now - this.leaderAnsweredAt > this.options.heartbeatEvery * 2,
    }
  }

  private handleAnswer(answer: HeartbeatAnswer, sentAt: Millis): void {
    const { clock, logger, onTable, onMembers } = this.options
    if (answer.holdsLease) this.leaderAnsweredAt = clock.now()
    const change = applyAnswer(this.state, answer, sentAt)
    const { version, digest, table } = this.state.table
    if (change.installed) {
      logger.info('table.installed', { version, digest, rows: table.endpoints.length })
      onTable(this.state.table)
    }
    if (change.members) onMembers(this.state.members)
    this.logLeaseChange()
  }

  private logLeaseChange(): void {
    const holds = this.holdsLease()
    if (holds === this.heldLease) return
    this.heldLease = holds
    const { logger, clock } = this.options
    const { version } = this.state.table
    if (holds) logger.info('lease.won', { version, untilMs: Math.round(this.leaseUntil - clock.now()) })
    else logger.warn('lease.lost', { version, reason: 'no majority of control replicas has answered' })
  }
}

import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { AskAnswer, AskQuestion, BoxInfo, Members } from '@forkstage/control'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller } from '@forkstage/peer-rpc'
import { digestTable } from '@forkstage/table'
import type { Address, Millis, VersionedTable } from '@forkstage/types'
import { createLeaseState, knownNewestSince, noteAnswer, type LeaseState } from './leaseState'

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  /** How this box presents itself; read for every question. */
  self: () => BoxInfo
  /** The boxes of the first control replicas. */
  firstReplicas: Address[]
  peers: PeerCaller
  clock: Clock
  logger: Logger
  tableLease: Millis
  askEvery: Millis
  onTable: (table: VersionedTable) => void
  onMembers: (members: Members) => void
}

/** While a box can take no work it asks this often. */
const ASK_SOON_MS = 200

/** Keeps this box's table and lease up to date by asking every control replica. */
export class TableFollower {
  private readonly state: LeaseState
  private cancel: CancelTimer = () => undefined
  private heldLease = false
  private askedAt: Millis = -Infinity
  /** When a leader last answered; without one, the table is asked for from every replica. */
  private leaderHeardAt = -Infinity
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

  /** The control replicas' addresses: those of the newest configuration, or the first ones. */
  get replicas(): Address[] {
    const voters = this.state.config?.voters.map((voter) => voter.address) ?? []
    return [...new Set([...voters, ...this.options.firstReplicas])]
  }

  /** Until when new work may be taken on the present table. */
  get leaseUntil(): Millis {
    return knownNewestSince(this.state) + this.options.tableLease
  }

  /** Whether new work may be taken now. */
  holdsLease(): boolean {
    return this.state.table.version > 0 && this.options.clock.now() < this.leaseUntil
  }

  start(): void {
    this.ask()
    const { clock, askEvery } = this.options
    this.cancel = every(clock, Math.min(askEvery, ASK_SOON_MS), () => this.askIfDue())
  }

  stop(): void {
    this.cancel()
  }

  /** Asks at once where a newer version has been heard of. */
  noteNewer(version: number): void {
    if (version <= this.state.table.version) return
    // The leader alone has it for certain, and its word alone renews the lease.
    if (this.leaderAddress === undefined) this.ask()
    else void this.askOne(this.leaderAddress)
  }

  /** Asks at its interval; sooner while it has no lease or no list of boxes, as after a restart. */
  private askIfDue(): void {
    const waitsForNews = !this.holdsLease() || this.state.members.version[0] === 0
    if (waitsForNews || this.options.clock.now() - this.askedAt >= this.options.askEvery) this.ask()
  }

  private ask(): void {
    this.askedAt = this.options.clock.now()
    this.noteLease()
    for (const address of this.replicas) void this.askOne(address)
  }

  private async askOne(address: Address): Promise<void> {
    const { peers, clock, tableLease } = this.options
    const sentAt = clock.now()
    try {
      const answer = await peers.call<AskAnswer>(address, 'control.ask', this.question(sentAt), {
        deadline: tableLease,
        step: 'renew table lease',
      })
      if (answer.holdsLease) this.leaderAddress = address
      this.take(answer, sentAt)
    } catch {
      if (this.leaderAddress === address) this.leaderAddress = undefined
      // A replica that does not answer is asked again; the lease says what that means.
    }
  }

  private question(now: Millis): AskQuestion {
    const { table, configIndex, members } = this.state
    return {
      box: this.options.self(),
      version: table.version,
      configIndex,
      membersVersion: members.version,
      leaseLeft: Math.max(0, this.leaseUntil - now),
      wantUpdate: now - this.leaderHeardAt > this.options.askEvery * 2,
    }
  }

  private take(answer: AskAnswer, sentAt: Millis): void {
    const { clock, logger, onTable, onMembers } = this.options
    if (answer.holdsLease) this.leaderHeardAt = clock.now()
    const change = noteAnswer(this.state, answer, sentAt)
    const { version, digest, table } = this.state.table
    if (change.installed) {
      logger.info('table.installed', { version, digest, rows: table.endpoints.length })
      onTable(this.state.table)
    }
    if (change.members) onMembers(this.state.members)
    this.noteLease()
  }

  private noteLease(): void {
    const holds = this.holdsLease()
    if (holds === this.heldLease) return
    this.heldLease = holds
    const { logger, clock } = this.options
    const { version } = this.state.table
    if (holds) logger.info('lease.won', { version, untilMs: Math.round(this.leaseUntil - clock.now()) })
    else logger.warn('lease.lost', { version, reason: 'no majority of control replicas has answered' })
  }
}

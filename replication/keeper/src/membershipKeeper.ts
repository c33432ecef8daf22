import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { GroupHost } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { ConfigChange, Member, ReplicaId } from '@forkstage/raft'
import { ReconfigurationError } from '@forkstage/raft'
import type { Address, Millis } from '@forkstage/types'
import { planMembership, type MembershipRules } from './planMembership'

/** Options of {@link MembershipKeeper}. */
export interface MembershipKeeperOptions<Command, Result> {
  group: string
  host: GroupHost<Command, Result>
  /** Where other control machines may be found. */
  addresses: () => Address[]
  selfAddress: Address
  peers: PeerCaller
  clock: Clock
  logger: Logger
  rules: MembershipRules
  /** How long without a leader before this replica asks to belong again. */
  lonelyMs: Millis
}

const LOOK_EVERY_MS = 100
const ASK_EVERY_MS = 250

/** Asks to belong while this replica is alone, and keeps the membership while it leads. */
export class MembershipKeeper<Command, Result> {
  private readonly asking = new Map<ReplicaId, { member: Member; at: Millis }>()
  private timers: CancelTimer[] = []

  constructor(private readonly options: MembershipKeeperOptions<Command, Result>) {}

  methods(): Record<string, PeerMethod> {
    return {
      [`${this.options.group}.join`]: (params: { member: Member }) => {
        this.asking.set(params.member.replica, { member: params.member, at: this.options.clock.now() })
      },
    }
  }

  start(): void {
    const { clock } = this.options
    this.timers = [
      every(clock, LOOK_EVERY_MS, () => this.keep()),
      every(clock, ASK_EVERY_MS, () => this.askToBelong()),
    ]
  }

  stop(): void {
    this.timers.forEach((cancel) => cancel())
  }

  /** Tells every known control machine that this replica wants to belong, unless it hears a leader as a voter. */
  private askToBelong(): void {
    const { host, peers, group, addresses, selfAddress, clock, lonelyMs } = this.options
    const { replica } = host
    const member = host.member
    if (replica === undefined || member === undefined) return
    const isVoter = replica.config.voters.some((voter) => voter.replica === member.replica)
    const hears = replica.leads || clock.now() - replica.leaderContactAt < lonelyMs
    if (isVoter && hears) return
    for (const address of addresses())
      if (address !== selfAddress) peers.notify(address, `${group}.join`, { member })
  }

  private keep(): void {
    const { host, clock, rules } = this.options
    const { replica } = host
    const member = host.member
    if (replica === undefined || member === undefined || !replica.holdsLease) return
    if (replica.configIndex !== replica.committedConfigIndex) return
    const { config, lastIndex, matches } = replica.status()
    const change = planMembership(
      {
        config,
        self: member.replica,
        lastIndex,
        asking: [...this.asking.values()],
        matches,
        heardAt: replica.heardAt(),
        leaderSince: replica.leaderSince,
        now: clock.now(),
      },
      rules,
    )
    if (change !== undefined) this.change(change)
  }

  private change(change: ConfigChange): void {
    const { host, group, logger } = this.options
    const replica = change.type === 'addLearner' ? change.member.replica : change.replica
    try {
      host.replica?.reconfigure(change)
      logger.info('replica.membership', { group, change: change.type, replica })
    } catch (error) {
      if (!(error instanceof ReconfigurationError)) throw error
      logger.debug('replica.refused', { group, reason: error.message })
    }
  }
}

import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { GroupHost } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { ConfigChange, Member, ReplicaId } from '@forkstage/raft'
import { ReconfigurationError } from '@forkstage/raft'
import type { Address, Millis } from '@forkstage/types'
import { domainOutlook, planMembership, type MembershipRules, type MembershipView } from './planMembership'

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
  /** What was last said of the loss of failure domains; it is said once, not at each look. */
  private bearsDomainLoss: boolean | undefined

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

  /**
   * Tells every known control machine that this replica wants to belong, unless it hears a leader as a voter. One whose
   * failure domain the log does not tell goes on, so that its leader hears of it.
   */
  private askToBelong(): void {
    const { host, peers, group, addresses, selfAddress, clock, lonelyMs, rules } = this.options
    const { replica } = host
    const member = host.member
    if (replica === undefined || member === undefined) return
    const own = replica.config.voters.find((voter) => voter.replica === member.replica)
    const isKnown = own?.domain !== undefined || member.domain === undefined || !rules.domainLosses
    const hears = replica.leads || clock.now() - replica.leaderContactAt < lonelyMs
    if (own !== undefined && isKnown && hears) return
    for (const address of addresses())
      if (address !== selfAddress) peers.notify(address, `${group}.join`, { member })
  }

  private keep(): void {
    const { host, clock, rules } = this.options
    const { replica } = host
    const member = host.member
    if (replica === undefined || member === undefined || !replica.holdsLease) {
      this.bearsDomainLoss = undefined
      return
    }
    if (replica.configIndex !== replica.committedConfigIndex) return
    const { config, lastIndex, matches } = replica.status()
    const view: MembershipView = {
      config,
      self: member.replica,
      lastIndex,
      asking: [...this.asking.values()],
      matches,
      heardAt: replica.heardAt(),
      leaderSince: replica.leaderSince,
      now: clock.now(),
    }
    const change = planMembership(view, rules)
    if (change !== undefined) return this.change(change)
    this.tellDomains(view)
  }

  /** Says where the loss of failure domains is not borne, and when it is again. */
  private tellDomains(view: MembershipView): void {
    const { group, logger, rules } = this.options
    const outlook = domainOutlook(view, rules)
    if (outlook === undefined) return
    const isBorne = outlook.missing <= 0
    if (isBorne === (this.bearsDomainLoss ?? true)) return
    this.bearsDomainLoss = isBorne
    const fields = { group, losses: rules.domainLosses ?? 0, ...outlook }
    if (isBorne) logger.info('replica.domains', fields)
    else logger.warn('replica.domains', fields)
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

import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { GroupHost } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { ConfigChange, Member, ReplicaId } from '@forkstage/raft'
import { ReconfigurationError } from '@forkstage/raft'
import type { Address, Millis } from '@forkstage/types'
import { domainTolerance, planMembership, type MembershipRules, type MembershipView } from './planMembership'

/** Options of {@link MembershipReconciler}. */
export interface MembershipReconcilerOptions<Command, Result> {
  group: string
  host: GroupHost<Command, Result>
  /** The addresses at which other control machines may run. */
  addresses: () => Address[]
  selfAddress: Address
  peers: PeerCaller
  clock: Clock
  logger: Logger
  rules: MembershipRules
  /** Time without contact to a leader after which this replica asks to join again. */
  rejoinAfterMs: Millis
}

const PLAN_INTERVAL_MS = 100
const JOIN_INTERVAL_MS = 250

/** Sends join requests while this replica has no leader or no vote, and plans membership changes while it leads. */
export class MembershipReconciler<Command, Result> {
  private readonly joinRequests = new Map<ReplicaId, { member: Member; at: Millis }>()
  private timers: CancelTimer[] = []
  /** Whether the loss of failure domains was tolerated at the last log line, since only changes are logged. */
  private toleratesDomainLoss: boolean | undefined

  constructor(private readonly options: MembershipReconcilerOptions<Command, Result>) {}

  methods(): Record<string, PeerMethod> {
    return {
      [`${this.options.group}.join`]: (params: { member: Member }) => {
        this.joinRequests.set(params.member.replica, { member: params.member, at: this.options.clock.now() })
      },
    }
  }

  start(): void {
    const { clock } = this.options
    this.timers = [
      every(clock, PLAN_INTERVAL_MS, () => this.reconcile()),
      every(clock, JOIN_INTERVAL_MS, () => this.sendJoinRequests()),
    ]
  }

  stop(): void {
    this.timers.forEach((cancel) => cancel())
  }

  /**
   * Sends a join request to every known control machine, unless this replica is a voter in contact with a leader.
   * A voter whose failure domain is missing from the log also sends it, so that the leader learns the domain.
   */
  private sendJoinRequests(): void {
    const { host, peers, group, addresses, selfAddress, clock, rejoinAfterMs, rules } = this.options
    const { replica } = host
    const member = host.member
    if (replica === undefined || member === undefined) return
    const own = replica.config.voters.find((voter) => voter.replica === member.replica)
    const isDomainKnown = own?.domain !== undefined || member.domain === undefined || !rules.domainLosses
    const hasLeaderContact = replica.leads || clock.now() - replica.leaderContactAt < rejoinAfterMs
    if (own !== undefined && isDomainKnown && hasLeaderContact) return
    for (const address of addresses())
      if (address !== selfAddress) peers.notify(address, `${group}.join`, { member })
  }

  private reconcile(): void {
    const { host, clock, rules } = this.options
    const { replica } = host
    const member = host.member
    if (replica === undefined || member === undefined || !replica.holdsLease) {
      this.toleratesDomainLoss = undefined
      return
    }
    if (replica.configIndex !== replica.committedConfigIndex) return
    const { config, lastIndex, matches } = replica.status()
    const view: MembershipView = {
      config,
      self: member.replica,
      lastIndex,
      joinRequests: [...this.joinRequests.values()],
      matches,
      ackedSentAt: replica.ackedSentAt(),
      leaderSince: replica.leaderSince,
      now: clock.now(),
    }
    const change = planMembership(view, rules)
    if (change !== undefined) return this.applyChange(change)
    this.logDomainTolerance(view)
  }

  /** Logs when the loss of failure domains is no longer tolerated, and when it is tolerated again. */
  private logDomainTolerance(view: MembershipView): void {
    const { group, logger, rules } = this.options
    const tolerance = domainTolerance(view, rules)
    if (tolerance === undefined) return
    const isTolerated = tolerance.missing <= 0
    if (isTolerated === (this.toleratesDomainLoss ?? true)) return
    this.toleratesDomainLoss = isTolerated
    const fields = { group, losses: rules.domainLosses ?? 0, ...tolerance }
    if (isTolerated) logger.info('replica.domains', fields)
    else logger.warn('replica.domains', fields)
  }

  private applyChange(change: ConfigChange): void {
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

import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { EvacuationResult, EvacuationSet, SetEvacuation } from '@forkstage/evacuation'
import { GroupUnavailableError, NotLeaderError, type GroupClient, type GroupHost } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { SheetCommand, SheetStateMachine, SheetResult } from '@forkstage/sheet'
import type { BoxId, FailureDomain, Millis } from '@forkstage/types'
import type { EvacuationTracker } from './evacuationTracker'

/** Options of {@link EvacuationService}. */
export interface EvacuationServiceOptions {
  group: string
  box: BoxId
  host: GroupHost<SheetCommand, SheetResult>
  machine: SheetStateMachine
  client: GroupClient<SheetCommand, SheetResult>
  /** The evacuations known to this machine. */
  tracker: EvacuationTracker
  clock: Clock
  logger: Logger
}

/** A request of an operator to begin or withdraw an evacuation. */
export interface EvacuationRequest {
  domain: FailureDomain
  isEvacuated: boolean
  /** Whether the caller still waits: an abandoned request is not proposed again. */
  isWaitedFor: () => boolean
}

/** Callers try another machine after about a second and must have this machine's answer by then. */
const REQUEST_DEADLINE_MS: Millis = 800
/**
 * A commit takes a round trip and a sync, tens of milliseconds. After a call to a leader that hangs, there is time to try
 * another one.
 */
const LEADER_CALL_TIMEOUT_MS: Millis = 450

/** Begins and withdraws evacuations of failure domains, at any control machine. */
export class EvacuationService {
  constructor(private readonly options: EvacuationServiceOptions) {
    options.machine.onEvacuations = () => this.mergeCommitted()
    options.machine.onEvacuationOrder = (...order) => this.logApplied(...order)
  }

  /** Returns the methods that other control machines call at the leader. */
  methods(): Record<string, PeerMethod> {
    return { [this.method]: (command: SetEvacuation) => this.setAsLeader(command) }
  }

  /**
   * Begins or withdraws an evacuation. Resolves once the order is synced on a majority, also if it changes nothing: an
   * answer without an entry in the log would not void the orders that are still under way.
   * @throws GroupUnavailableError if the outcome is unknown.
   */
  async set(request: EvacuationRequest): Promise<EvacuationResult> {
    const { logger } = this.options
    const { domain, isEvacuated } = request
    const action = isEvacuated ? 'begin' : 'withdraw'
    try {
      const result = await this.propose(request)
      logger.info('evacuation.taken', { domain, action, index: result.index, outcome: result.outcome })
      return result
    } catch (error) {
      logger.warn('evacuation.unsure', { domain, action, reason: toErrorBody(error).message })
      throw error
    }
  }

  /** Logs an order that the local replica has applied at a log index. */
  private logApplied(
    { domain, isEvacuated, knownIndex, receivedBy }: SetEvacuation,
    logIndex: number,
    { outcome }: EvacuationResult,
  ): void {
    const action = isEvacuated ? 'begin' : 'withdraw'
    this.options.logger.info('evacuation.applied', {
      domain,
      action,
      logIndex,
      knownIndex,
      outcome,
      receivedBy,
    })
  }

  /**
   * Merges a set received from another control machine, then the local one: once a committed set is known, the state
   * restored from this machine's disk counts as committed too, and may be newer.
   */
  mergeReceived(set: EvacuationSet): void {
    this.options.tracker.merge(set)
    this.mergeCommitted()
  }

  /**
   * Merges the set applied by this machine's replica. The state that a replica restores at its start may be older than what
   * was acknowledged, so it is used only once a committed set or the replica's commit position is known.
   */
  mergeCommitted(): void {
    const { host, machine, tracker } = this.options
    if (!tracker.view.isConfirmed && host.replica?.knowsCommitted !== true) return
    tracker.merge(machine.evacuations.current)
  }

  /**
   * Returns the domains that may be evacuated: those known, and those in the log on disk, whose uncommitted entries may have
   * been acknowledged.
   */
  supposedDomains(): FailureDomain[] {
    const { host, machine, tracker } = this.options
    const pending = (host.replica?.uncommitted ?? []).map(({ data }) => data as SheetCommand | undefined)
    const pendingCommands = pending.filter((command) => command?.type === 'setEvacuation')
    return [
      ...new Set([
        ...machine.evacuations.possiblyEvacuated(pendingCommands),
        ...tracker.view.current.domains,
      ]),
    ]
  }

  private get method(): string {
    return `${this.options.group}.evacuate`
  }

  /** Proposes a request until it is applied without being overtaken, while the caller waits. */
  private async propose({ domain, isEvacuated, isWaitedFor }: EvacuationRequest): Promise<EvacuationResult> {
    const { box, client, clock, group, machine, tracker } = this.options
    const end = clock.now() + REQUEST_DEADLINE_MS
    let knownIndex = Math.max(machine.evacuations.lastOrderIndex, tracker.view.current.index)
    while (isWaitedFor() && clock.now() < end) {
      const command: SetEvacuation = {
        type: 'setEvacuation',
        domain,
        isEvacuated,
        knownIndex,
        receivedBy: box,
      }
      const result = await client.callLeader<EvacuationResult>('evacuate', command, {
        deadline: end - clock.now(),
        callDeadline: LEADER_CALL_TIMEOUT_MS,
        step: 'evacuate',
      })
      if (result.outcome !== 'overtaken') return result
      knownIndex = result.index
    }
    throw new GroupUnavailableError(
      group,
      new Error('other requests were committed first, or the caller stopped waiting'),
    )
  }

  private setAsLeader(command: SetEvacuation): Promise<EvacuationResult> {
    const { host, group } = this.options
    const replica = host.require()
    if (!replica.leads) throw new NotLeaderError(group, replica.leaderAddress)
    return replica.propose(command) as Promise<EvacuationResult>
  }
}

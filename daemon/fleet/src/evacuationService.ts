import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import {
  NO_EVACUATIONS,
  type EvacuationResult,
  type EvacuationSet,
  type SetEvacuation,
} from '@forkstage/evacuation'
import { GroupUnavailableError, NotLeaderError, type GroupClient, type GroupHost } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { SheetCommand, SheetStateMachine, SheetResult } from '@forkstage/sheet'
import type { FailureDomain, Millis } from '@forkstage/types'
import type { EvacuationTracker } from './evacuationTracker'

/** Options of {@link EvacuationService}. */
export interface EvacuationServiceOptions {
  group: string
  host: GroupHost<SheetCommand, SheetResult>
  machine: SheetStateMachine
  client: GroupClient<SheetCommand, SheetResult>
  /** What this machine believes. */
  tracker: EvacuationTracker
  clock: Clock
  logger: Logger
}

/** An order to begin or withdraw an evacuation, as it came in. */
export interface EvacuationRequest {
  domain: FailureDomain
  isEvacuated: boolean
  /** Whether its caller still waits: an order that nobody waits for any more is not proposed again. */
  isWaitedFor: () => boolean
}

/** Callers ask another machine after about a second: by then they have heard that this one is not sure. */
const REQUEST_DEADLINE_MS: Millis = 900
/** A commit takes a round trip and a sync, some ten milliseconds; one leader that hangs leaves time for another. */
const LEADER_CALL_TIMEOUT_MS: Millis = 450

/** Takes orders to evacuate failure domains, at any control machine. */
export class EvacuationService {
  constructor(private readonly options: EvacuationServiceOptions) {}

  /** What other control machines call at the leader. */
  methods(): Record<string, PeerMethod> {
    return { [this.method]: (command: SetEvacuation) => this.setAsLeader(command) }
  }

  /**
   * Begins or withdraws an evacuation. Returns once the change is synced on a majority, or was before.
   * @throws GroupUnavailableError where it is not known whether it was taken.
   */
  async set(request: EvacuationRequest): Promise<EvacuationResult> {
    const { logger } = this.options
    const { domain, isEvacuated } = request
    const action = isEvacuated ? 'begin' : 'withdraw'
    try {
      const result = this.answerFromLease(domain, isEvacuated) ?? (await this.propose(request))
      logger.info('evacuation.taken', { domain, action, index: result.index, outcome: result.outcome })
      return result
    } catch (error) {
      logger.warn('evacuation.unsure', { domain, action, reason: toErrorBody(error).message })
      throw error
    }
  }

  /**
   * Takes what another control machine has told. What was read from the disk here before anything was heard is committed
   * too, and may be newer than what that machine knew.
   */
  mergeReceived(set: EvacuationSet): void {
    this.options.tracker.merge(set)
    this.mergeCommitted()
  }

  /**
   * Lets this machine believe what its replica has applied. What a replica restores at its start may be older than what
   * was acknowledged: it counts once the replica knows what is committed.
   */
  mergeCommitted(): void {
    const { host, machine, tracker } = this.options
    if (!tracker.view.isConfirmed && host.replica?.knowsCommitted !== true) return
    tracker.merge(machine.evacuations.current)
  }

  /** What the disks of machines that have just started say: an order in a log may have been acknowledged. */
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

  /** Tries until it is applied on top of all that came before it, while its caller waits. */
  private async propose({ domain, isEvacuated, isWaitedFor }: EvacuationRequest): Promise<EvacuationResult> {
    const { client, clock, group, tracker } = this.options
    const end = clock.now() + REQUEST_DEADLINE_MS
    let knownIndex = Math.max(NO_EVACUATIONS.index, tracker.view.current.index)
    while (isWaitedFor() && clock.now() < end) {
      const command: SetEvacuation = { type: 'setEvacuation', domain, isEvacuated, knownIndex }
      const result = await client.callLeader<EvacuationResult>('evacuate', command, {
        deadline: end - clock.now(),
        callDeadline: LEADER_CALL_TIMEOUT_MS,
        step: 'evacuate',
      })
      if (result.outcome !== 'overtaken') return result
      knownIndex = result.index
    }
    throw new GroupUnavailableError(group, new Error('other orders came between, or nobody waits any more'))
  }

  private setAsLeader(command: SetEvacuation): EvacuationResult | Promise<EvacuationResult> {
    const { host, group } = this.options
    const replica = host.require()
    if (!replica.leads) throw new NotLeaderError(group, replica.leaderAddress)
    const known = this.answerFromLease(command.domain, command.isEvacuated)
    return known ?? (replica.propose(command) as Promise<EvacuationResult>)
  }

  /** A leader that is sure of the state need not write what changes nothing. */
  private answerFromLease(domain: FailureDomain, isEvacuated: boolean): EvacuationResult | undefined {
    const { host, machine } = this.options
    if (host.replica?.holdsLease !== true || !machine.evacuations.isNoOp(domain, isEvacuated))
      return undefined
    return { index: machine.evacuations.current.index, outcome: 'held' }
  }
}

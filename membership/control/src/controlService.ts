import type { Clock } from '@forkstage/clock'
import { ForkstageError } from '@forkstage/error'
import type { GroupHost } from '@forkstage/group'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { Millis } from '@forkstage/types'
import type { HeartbeatAnswer, HeartbeatRequest, ControlStatus, Members } from './heartbeatTypes'
import type { BoxRegistry } from './boxRegistry'
import type { ControlCommand, ControlResult, HistoryEntry } from './controlCommands'
import type { ControlStateMachine } from './controlStateMachine'

/** Options of {@link createControlMethods}. */
export interface ControlServiceOptions {
  host: GroupHost<ControlCommand, ControlResult>
  machine: ControlStateMachine
  registry: BoxRegistry
  clock: Clock
  /** How long a new leader waits before it publishes the list of live boxes. */
  publishAfter: Millis
  tableLease: Millis
}

/** Thrown when a request needs the leader and this replica does not hold the leader lease. */
export class NoLeaseError extends ForkstageError {
  constructor() {
    super(
      'FORKSTAGE_NOT_LEADER',
      'This control replica does not hold the leader lease.',
      'Retry in a moment.',
      {
        step: 'control request',
      },
    )
  }
}

/** The peer methods of a control replica, in addition to those of its group. */
export function createControlMethods(options: ControlServiceOptions): Record<string, PeerMethod> {
  return {
    'control.ask': (request: HeartbeatRequest) => answerHeartbeat(request, options),
    'control.boxes': () => describeBoxes(options),
    'control.history': (params: { limit: number }) => readHistory(params.limit, options),
  }
}

function answerHeartbeat(request: HeartbeatRequest, options: ControlServiceOptions): HeartbeatAnswer {
  const { host, machine, registry } = options
  const replica = host.require()
  registry.recordHeartbeat(request)
  const pending = replica.uncommitted.filter(
    (entry) => (entry.data as ControlCommand | null)?.type === 'confirm',
  )
  const { holdsLease } = replica
  const sendsUpdate = holdsLease || request.wantUpdate
  return {
    replica: replica.status().replica,
    holdsLease,
    newestVersion: machine.table.version + pending.length,
    acceptedVersion: machine.table.version,
    newestConfigIndex: replica.configIndex,
    config: replica.configIndex > request.configIndex ? replica.config : undefined,
    update: sendsUpdate ? machine.updateFrom(request.version) : undefined,
    members: holdsLease ? newerMembers(request.membersVersion, options) : undefined,
  }
}

function newerMembers(known: [number, number], options: ControlServiceOptions): Members | undefined {
  const replica = options.host.require()
  // A new leader lacks some heartbeats at first; a list made now would omit live boxes.
  if (options.clock.now() - replica.leaderSince < options.publishAfter) return undefined
  const members = options.registry.members(replica.term)
  const [term, count] = members.version
  const newer = term > known[0] || (term === known[0] && count > known[1])
  return newer ? members : undefined
}

function describeBoxes(options: ControlServiceOptions): ControlStatus {
  const { host, machine, registry, clock, tableLease } = options
  const replica = host.require()
  if (!replica.holdsLease) throw new NoLeaseError()
  const { version, digest } = machine.table
  // A box without a heartbeat to this leader may act on an older table until its lease has expired.
  const settled = clock.now() - replica.leaderSince >= tableLease
  return { version, digest, boxes: registry.status(), settled }
}

function readHistory(limit: number, options: ControlServiceOptions): Omit<HistoryEntry, 'delta'>[] {
  if (!options.host.require().holdsLease) throw new NoLeaseError()
  const newest = options.machine.history.slice(-limit).reverse()
  return newest.map(({ version, digest, confirmId, who, at }) => ({ version, digest, confirmId, who, at }))
}

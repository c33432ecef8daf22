import {
  BoxRegistry,
  ControlStateMachine,
  createControlMethods,
  type ControlCommand,
  type ControlResult,
} from '@forkstage/control'
import {
  createJournalMethods,
  JournalMachine,
  startJournalTicker,
  type JournalCommand,
  type JournalResult,
} from '@forkstage/claims'
import type { CancelTimer, Clock, Random } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { GroupHost, type ReplicaStatus, type StateMachine } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import { advertisedAddress, type Settings } from '@forkstage/settings'

/** The name of the control group. */
export const CONTROL_GROUP = 'control'

/** The method that notifies boxes of a newer accepted table. */
export const TABLE_CHANGED = 'table.changed'

/** The name of a journal group. */
export function journalGroup(index: number): string {
  return `journal${index}`
}

/** The status of this box's replica of a group, or why the replica is not running. */
export type GroupStatus = ReplicaStatus | { group: string; failure: string }

/** Options of {@link BoxGroups}. */
export interface BoxGroupsOptions {
  settings: Settings
  peers: PeerCaller
  clock: Clock
  random: Random
  logger: Logger
}

type AnyHost = GroupHost<ControlCommand, ControlResult> | GroupHost<JournalCommand, JournalResult>

/** The replicas on a control box: one of the control group and one of each journal group. */
export class BoxGroups {
  readonly machine = new ControlStateMachine()
  readonly registry: BoxRegistry
  readonly control?: GroupHost<ControlCommand, ControlResult>
  private readonly journals: {
    name: string
    host: GroupHost<JournalCommand, JournalResult>
    machine: JournalMachine
  }[] = []
  private timers: CancelTimer[] = []

  constructor(private readonly options: BoxGroupsOptions) {
    const { settings, clock } = options
    const { lease, journal, request } = settings
    this.registry = new BoxRegistry({ clock, goneAfter: lease.box_gone_after_ms, tableLease: lease.table_ms })
    if (!settings.box.roles.includes('control')) return
    this.control = this.createHost(CONTROL_GROUP, this.machine)
    this.machine.onAccepted = (version) => this.announce(version)
    for (let index = 0; index < journal.groups; index += 1) {
      const name = journalGroup(index)
      const machine = new JournalMachine({
        retainMs: journal.retain_ms,
        openMs: request.deadline_ms,
        maxClaims: journal.max_claims,
        maxOutcomeBytes: journal.max_outcome_total_bytes,
      })
      this.journals.push({ name, machine, host: this.createHost(name, machine) })
    }
  }

  /** The peer methods of these replicas. */
  methods(): Record<string, PeerMethod> {
    const { settings, clock } = this.options
    if (this.control === undefined) return {}
    const control = createControlMethods({
      host: this.control,
      machine: this.machine,
      registry: this.registry,
      clock,
      // Every live box has sent a heartbeat by then. A longer wait would only delay readiness after a restart
      // of all boxes.
      publishAfter: settings.lease.ask_every_ms * 1.5,
      tableLease: settings.lease.table_ms,
    })
    const journals = this.journals.map(({ name, host, machine }) => ({
      ...host.methods(),
      ...createJournalMethods(name, host, machine),
    }))
    return Object.assign({}, this.control.methods(), control, ...journals) as Record<string, PeerMethod>
  }

  /** Starts all replicas in the background. */
  start(): void {
    for (const host of this.hosts()) void host.start()
    this.timers = this.journals.map(({ host }) => startJournalTicker(host, this.options.clock))
  }

  /** Transfers the leadership of every group to another box. */
  transferLeadership(): void {
    for (const host of this.hosts()) host.replica?.transferLeadership()
  }

  async stop(): Promise<void> {
    this.timers.forEach((cancel) => cancel())
    await Promise.all(this.hosts().map((host) => host.stop()))
  }

  status(): GroupStatus[] {
    if (this.control === undefined) return []
    return [
      statusOf(CONTROL_GROUP, this.control),
      ...this.journals.map(({ name, host }) => statusOf(name, host)),
    ]
  }

  /**
   * Notifies every live box of a newer table. A box that misses the notification learns of it by its next
   * heartbeat.
   */
  private announce(version: number): void {
    if (this.control?.replica?.leads !== true) return
    for (const address of this.registry.addresses())
      this.options.peers.notify(address, TABLE_CHANGED, { version })
  }

  private hosts(): AnyHost[] {
    return this.control === undefined ? [] : [this.control, ...this.journals.map(({ host }) => host)]
  }

  private createHost<Command, Result>(
    group: string,
    machine: StateMachine<Command, Result>,
  ): GroupHost<Command, Result> {
    const { settings, ...shared } = this.options
    return new GroupHost({
      ...shared,
      group,
      machine,
      box: settings.box.name,
      address: advertisedAddress(settings),
      folder: `${settings.box.data_folder}/groups/${group}`,
      firstReplicas: settings.control.replicas,
      electionTimeout: settings.control.election_timeout_ms,
      heartbeat: settings.control.heartbeat_ms,
      snapshotEvery: settings.control.snapshot_every,
    })
  }
}

function statusOf(group: string, host: AnyHost): GroupStatus {
  if (host.replica !== undefined) return host.replica.status()
  const failure =
    host.failure === undefined ? 'waiting to create or join its group' : toErrorBody(host.failure).message
  return { group, failure }
}

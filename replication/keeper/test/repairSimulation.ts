import { leaseUntil, ReconfigurationError, type Member } from '@forkstage/raft'
import { Cluster, ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { domainTolerance, planMembership, type MembershipRules, type MembershipView } from '../src'

const RULES = { requiredVoters: 5, silentMs: 4 * ELECTION_TIMEOUT, joinRequestTtlMs: ELECTION_TIMEOUT }

/** The failure domain of each machine by name; an empty string if unknown. */
export type Machines = Record<string, string>

const FIVE_MACHINES: Machines = { a: '', b: '', c: '', d: '', e: '' }

/** Options of {@link RepairSimulation}. */
export interface RepairSimulationOptions {
  machines?: Machines
  /** Machines that found the group; all if absent. */
  founders?: string[]
  domainLosses?: number
}

/**
 * Simulates a group, of five machines by default, on an unreliable network whose leader maintains the membership.
 * A replica is named after its machine and the number of disks lost there, for example `a.0`.
 */
export class RepairSimulation extends Cluster {
  private readonly lostDisks: Map<string, number>
  private readonly machines: Machines
  private readonly rules: MembershipRules

  constructor(
    seed: number,
    { machines = FIVE_MACHINES, founders, domainLosses }: RepairSimulationOptions = {},
  ) {
    super(0, seed)
    this.machines = machines
    this.rules = { ...RULES, domainLosses }
    const machineNames = Object.keys(machines)
    this.lostDisks = new Map(machineNames.map((machine) => [machine, 0]))
    const voters = (founders ?? machineNames).map((machine) => this.member(`${machine}.0`))
    for (const machine of machineNames)
      this.add(this.member(`${machine}.0`), (founders ?? machineNames).includes(machine) ? voters : [])
  }

  override member(name: string): Member {
    const address = name.split('.')[0]!
    return { replica: name, box: name, address, domain: this.machines[address] || undefined }
  }

  /** The current replicas on the machines of a failure domain. */
  replicasIn(domain: string): string[] {
    return this.replicas().filter((name) => this.member(name).domain === domain)
  }

  /** The current replica of every machine, whether running or not. */
  replicas(): string[] {
    return [...this.lostDisks.keys()].map((machine) => `${machine}.${this.lostDisks.get(machine)}`)
  }

  /** Stops a replica and restarts its machine with an empty disk, under a new identity. */
  wipe(name: string): void {
    const machine = name.split('.')[0]!
    this.crash(name)
    this.lostDisks.set(machine, this.lostDisks.get(machine)! + 1)
    this.add(this.member(`${machine}.${this.lostDisks.get(machine)}`), [])
  }

  /** The leader's view of the group; undefined if no leader holds its lease. */
  private view(): MembershipView | undefined {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)?.state
    if (name === undefined || state === undefined || leaseUntil(state) <= this.now) return undefined
    const { voters } = state.log.config
    const outside = this.replicas().filter((each) => !voters.some((voter) => voter.replica === each))
    const joining = outside.filter((each) => this.nodes.get(each)!.state !== undefined && !this.cut.has(each))
    const progress = [...state.progress]
    return {
      config: state.log.config,
      self: name,
      lastIndex: state.log.lastIndex,
      joinRequests: joining.map((each) => ({ member: this.member(each), at: this.now })),
      matches: Object.fromEntries(progress.map(([replica, { match }]) => [replica, match])),
      ackedSentAt: Object.fromEntries(progress.map(([replica, { ackedSentAt }]) => [replica, ackedSentAt])),
      leaderSince: state.leaderSince,
      now: this.now,
    }
  }

  /** Plans a membership change and proposes it, as the leader's reconciler does. */
  reconcile(): void {
    const view = this.view()
    const change = view && planMembership(view, this.rules)
    if (view === undefined || change === undefined) return
    try {
      this.step(view.self, { type: 'reconfigure', change })
    } catch (error) {
      if (!(error instanceof ReconfigurationError)) throw error
    }
  }

  /** Whether the group has the required voters, needs no change and tolerates the loss of a failure domain. */
  toleratesDomainLoss(): boolean {
    const view = this.view()
    const state = view && this.nodes.get(view.self)!.state
    if (view === undefined || state === undefined || state.log.configIndex > state.commitIndex) return false
    if (planMembership(view, this.rules) !== undefined) return false
    const live = view.config.voters.filter(({ replica }) => this.replicas().includes(replica))
    return (
      live.length >= RULES.requiredVoters &&
      domainTolerance(view, { ...this.rules, domainLosses: 1 })!.missing <= 0
    )
  }

  /** Whether the voters are exactly the current replicas, by a configuration that the leader has committed. */
  isRepaired(): boolean {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)!.state
    if (state === undefined || state.log.configIndex > state.commitIndex) return false
    const { voters, learners } = state.log.config
    const names = voters.map((voter) => voter.replica).sort()
    return learners.length === 0 && names.join() === this.replicas().sort().join()
  }

  /** The acknowledged commands: those that any replica has applied. */
  acknowledged(): unknown[] {
    return this.committed
      .filter((entry) => entry !== undefined)
      .map((entry) => JSON.parse(entry as string) as [number, string, unknown])
      .filter(([, kind]) => kind === 'command')
      .map(([, , data]) => data)
  }
}

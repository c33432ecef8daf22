import { leaseUntil, ReconfigurationError, type Member } from '@forkstage/raft'
import { Cluster, ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { domainTolerance, planMembership, type MembershipRules, type MembershipView } from '../src'

const RULES = { requiredVoters: 5, silentMs: 4 * ELECTION_TIMEOUT, joinRequestTtlMs: ELECTION_TIMEOUT }

/** The machines of a world: failure domain by name; an empty text where nobody knows it. */
export type Machines = Record<string, string>

const FIVE_MACHINES: Machines = { a: '', b: '', c: '', d: '', e: '' }

/** What a world may have that differs. */
export interface RepairSimulationOptions {
  machines?: Machines
  /** Machines that found the group; all where left out. */
  founders?: string[]
  domainLosses?: number
}

/**
 * A group, of five machines where nothing else is said, on an unreliable network whose leader keeps the membership. A replica is called by the machine it
 * is on and the number of disks that were lost there, as `a.0`.
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

  /** The replicas on machines of a failure domain. */
  replicasIn(domain: string): string[] {
    return this.replicas().filter((name) => this.member(name).domain === domain)
  }

  /** The replicas whose disks are there. */
  replicas(): string[] {
    return [...this.lostDisks.keys()].map((machine) => `${machine}.${this.lostDisks.get(machine)}`)
  }

  /** The machine of a replica loses its disk and comes back with an empty one, under a new identity. */
  wipe(name: string): void {
    const machine = name.split('.')[0]!
    this.crash(name)
    this.lostDisks.set(machine, this.lostDisks.get(machine)! + 1)
    this.add(this.member(`${machine}.${this.lostDisks.get(machine)}`), [])
  }

  /** What the leader's keeper sees; nothing where none leads with its lease. */
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

  /** What the leader's keeper does when it looks at its group. */
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

  /** Whether the group has enough voters, changes no more and outlives the loss of a failure domain. */
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

  /** Whether exactly the replicas whose disks are there vote, as far as the leader has committed. */
  isRepaired(): boolean {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)!.state
    if (state === undefined || state.log.configIndex > state.commitIndex) return false
    const { voters, learners } = state.log.config
    const names = voters.map((voter) => voter.replica).sort()
    return learners.length === 0 && names.join() === this.replicas().sort().join()
  }

  /** Commands that were acknowledged: applied somewhere. */
  acknowledged(): unknown[] {
    return this.committed
      .filter((entry) => entry !== undefined)
      .map((entry) => JSON.parse(entry as string) as [number, string, unknown])
      .filter(([, kind]) => kind === 'command')
      .map(([, , data]) => data)
  }
}

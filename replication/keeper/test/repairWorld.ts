import { leaseUntil, ReconfigurationError, type Member } from '@forkstage/raft'
import { Cluster, ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { planMembership } from '../src'

const RULES = { enoughVoters: 5, silentMs: 4 * ELECTION_TIMEOUT, askingMs: ELECTION_TIMEOUT }
const SLOTS = ['a', 'b', 'c', 'd', 'e']

/**
 * A group of five on an unreliable network whose leader keeps the membership. A replica is called by the machine it
 * is on and the number of disks that were lost there, as `a.0`.
 */
export class RepairWorld extends Cluster {
  private readonly disks = new Map(SLOTS.map((slot) => [slot, 0]))

  constructor(seed: number) {
    super(0, seed)
    const voters = SLOTS.map((slot) => this.member(`${slot}.0`))
    for (const voter of voters) this.add(voter, voters)
  }

  override member(name: string): Member {
    return { replica: name, box: name, address: name.split('.')[0]! }
  }

  /** The replicas whose disks are there. */
  live(): string[] {
    return SLOTS.map((slot) => `${slot}.${this.disks.get(slot)}`)
  }

  /** The machine of a replica loses its disk and comes back with an empty one, under a new identity. */
  wipe(name: string): void {
    const slot = name.split('.')[0]!
    this.crash(name)
    this.disks.set(slot, this.disks.get(slot)! + 1)
    this.add(this.member(`${slot}.${this.disks.get(slot)}`), [])
  }

  /** What the leader's keeper does when it looks at its group. */
  keep(): void {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)?.state
    if (name === undefined || state === undefined || leaseUntil(state) <= this.now) return
    const { voters } = state.log.config
    const outside = this.live().filter((each) => !voters.some((voter) => voter.replica === each))
    const asking = outside.filter((each) => this.nodes.get(each)!.state !== undefined && !this.cut.has(each))
    const progress = [...state.progress]
    const change = planMembership(
      {
        config: state.log.config,
        self: name,
        lastIndex: state.log.lastIndex,
        asking: asking.map((each) => ({ member: this.member(each), at: this.now })),
        matches: Object.fromEntries(progress.map(([replica, { match }]) => [replica, match])),
        heardAt: Object.fromEntries(progress.map(([replica, { ackedSentAt }]) => [replica, ackedSentAt])),
        leaderSince: state.leaderSince,
        now: this.now,
      },
      RULES,
    )
    if (change === undefined) return
    try {
      this.step(name, { type: 'reconfigure', change })
    } catch (error) {
      if (!(error instanceof ReconfigurationError)) throw error
    }
  }

  /** Whether exactly the replicas whose disks are there vote, as far as the leader has committed. */
  isWhole(): boolean {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)!.state
    if (state === undefined || state.log.configIndex > state.commitIndex) return false
    const { voters, learners } = state.log.config
    const names = voters.map((voter) => voter.replica).sort()
    return learners.length === 0 && names.join() === this.live().sort().join()
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
